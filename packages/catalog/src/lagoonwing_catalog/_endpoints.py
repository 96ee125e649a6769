"""Which of two announcements of an endpoint holds."""

from __future__ import annotations

import msgspec

from lagoonwing_catalog.models import EndpointRecord, EndpointState

GONE_STATES = frozenset({EndpointState.LEFT, EndpointState.LOST})


def is_newer(current: EndpointRecord | None, announced: EndpointRecord) -> bool:
    """Return whether an announcement replaces the record of the same endpoint."""
    if current is None:
        return True
    if announced.started_ms != current.started_ms:
        return announced.started_ms > current.started_ms
    if current.state is EndpointState.LEFT:
        return False
    return announced.sequence > current.sequence or announced.state is EndpointState.LEFT


def says_the_same(current: EndpointRecord | None, announced: EndpointRecord) -> bool:
    """Return whether an announcement would change nothing but its own number."""
    if current is None:
        return False
    renumbered = msgspec.structs.replace(
        announced, sequence=current.sequence, revision=current.revision
    )
    return renumbered == current


def holds_address(record: EndpointRecord) -> bool:
    """Return whether an endpoint may still listen at its address."""
    return record.state not in GONE_STATES
