"""Bytes on an endpoint's connection that no request asked for."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from tornado.iostream import IOStream

from lagoonwing_core.callback import callback
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_http.const import LOGGED_BYTES

_PROTOCOL = b"HTTP/1."


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


class ObservedStream(IOStream):
    """A stream that shows the raw bytes that it reads to an observer."""

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(connection)
        self.on_bytes: Callable[[bytes], None] = _ignore_bytes

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket into a buffer."""
        count = super().read_from_fd(buf)
        if count:
            self.on_bytes(bytes(buf[:count]))
        return count


class ArrivalObserver:
    """Reports bytes that arrive while no request waits, and answers inside the due answer."""

    def __init__(self, peer: str, report: OnUnrequestedBytes) -> None:
        self._peer = peer
        self._report = report
        self._request_id: str | None = None
        self._is_waiting = False
        self._count = 0
        self._first = b""
        self._tail = b""

    @callback
    def on_request(self, request_id: str | None) -> None:
        """Handle a request; bytes that arrived before it stand in front of its answer."""
        self._request_id = request_id
        if self._count:
            self._report_as(ArrivalMoment.BEFORE)
        self._is_waiting = True
        self._count, self._first, self._tail = 0, b"", b""

    @callback
    def on_answer_end(self) -> None:
        """Handle the end of the due answer."""
        self._is_waiting = False
        self._request_id = None
        self._count, self._first, self._tail = 0, b"", b""

    @callback
    def on_bytes(self, data: bytes) -> None:
        """Handle bytes that were read."""
        is_first = not self._count
        self._count += len(data)
        self._first = (self._first + data)[:LOGGED_BYTES]
        if not self._is_waiting:
            if is_first:
                self._report_as(ArrivalMoment.IDLE)
            return
        window = self._tail + data
        self._tail = window[1 - len(_PROTOCOL) :]
        if window.find(_PROTOCOL, 1 if is_first else 0) >= 0:
            self._report_as(ArrivalMoment.WITHIN)

    def _report_as(self, moment: ArrivalMoment) -> None:
        """Report the bytes so far."""
        self._report(
            UnrequestedBytes(self._peer, moment, self._count, self._first, self._request_id)
        )


def _ignore_bytes(data: bytes) -> None:
    """Ignore bytes that were read."""
