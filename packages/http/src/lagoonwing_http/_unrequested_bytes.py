"""Bytes on an endpoint's connection that no request asked for."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lagoonwing_core.events import EventCode, log_event
from lagoonwing_http.const import LOGGED_BYTES


class ArrivalMoment(Enum):
    """When bytes arrived that no request asked for.

    IDLE: no request waited. BEFORE: they stand in front of the answer that is due. WITHIN: another
    answer begins inside an answer. BEHIND: they follow a complete answer.
    """

    IDLE = "idle"
    BEFORE = "before"
    WITHIN = "within"
    BEHIND = "behind"


@dataclass(frozen=True, slots=True)
class UnrequestedBytes:
    """Bytes that no request asked for.

    Attributes:
        peer: Address and port of the endpoint.
        count: Number of bytes that have arrived so far.
        first: The first of them.
        request_id: Id of the request that waits for an answer, if any.
    """

    peer: str
    moment: ArrivalMoment
    count: int
    first: bytes
    request_id: str | None


OnUnrequestedBytes = Callable[[UnrequestedBytes], None]


def log_unrequested_bytes(arrival: UnrequestedBytes) -> None:
    """Log bytes that no request asked for."""
    log_event(
        EventCode.UNREQUESTED_BYTES,
        peer=arrival.peer,
        moment=arrival.moment.value,
        bytes=arrival.count,
        first=escape_bytes(arrival.first),
        request=arrival.request_id,
    )


def escape_bytes(data: bytes) -> str:
    """Return the first bytes of some data as printable ASCII."""
    return data[:LOGGED_BYTES].decode("latin-1").encode("unicode_escape").decode("ascii")
