"""Refusals of endpoint announcements."""

from __future__ import annotations

from lagoonwing_core.errors import Refusal
from lagoonwing_core.models import EndpointRecord
from lagoonwing_core.result_codes import ResultCode


def stale_announcement(record: EndpointRecord) -> Refusal:
    """Refuse an announcement that a later one has superseded."""
    return Refusal(
        ResultCode.ENDPOINT_REFUSED,
        f"a later announcement of {record.endpoint_id} is already known",
    )


def already_left(record: EndpointRecord) -> Refusal:
    """Refuse an announcement of an incarnation that has already left."""
    return Refusal(
        ResultCode.ENDPOINT_REFUSED,
        f"{record.endpoint_id} has left; it may return with a higher incarnation",
    )


def address_conflict(record: EndpointRecord) -> Refusal:
    """Refuse an announcement of a known incarnation from a second address."""
    return Refusal(
        ResultCode.ENDPOINT_REFUSED,
        f"another address announces this incarnation of {record.endpoint_id}",
    )


def record_too_large(size: int, limit: int) -> Refusal:
    """Refuse a record that exceeds the size limit of messages between hosts."""
    return Refusal(ResultCode.MESSAGE_TOO_LARGE, f"record of {size} bytes exceeds {limit}")


def too_many_endpoints(limit: int) -> Refusal:
    """Refuse an endpoint because the endpoint table is full."""
    return Refusal(ResultCode.ENDPOINT_REFUSED, f"the cell already holds {limit} endpoints")
