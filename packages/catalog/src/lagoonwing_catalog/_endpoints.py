"""Ordering of an endpoint's announcements."""

from __future__ import annotations

import msgspec

from lagoonwing_catalog.models import EndpointRecord, EndpointState

INACTIVE_STATES = frozenset({EndpointState.LEFT, EndpointState.LOST})


def supersedes(current: EndpointRecord | None, announced: EndpointRecord) -> bool:
    """Return whether an announcement supersedes the current record of the endpoint."""
    if current is None:
        return True
    if announced.started_ms != current.started_ms:
        return announced.started_ms > current.started_ms
    if current.state is EndpointState.LEFT:
        return False
    return announced.sequence > current.sequence or announced.state is EndpointState.LEFT


def is_unchanged(current: EndpointRecord | None, announced: EndpointRecord) -> bool:
    """Return whether an announcement differs from the record in its sequence number only."""
    if current is None:
        return False
    with_current_sequence = msgspec.structs.replace(
        announced, sequence=current.sequence, revision=current.revision
    )
    return with_current_sequence == current


def may_hold_address(record: EndpointRecord) -> bool:
    """Return whether an endpoint may still be listening on its address."""
    return record.state not in INACTIVE_STATES
