"""One connection of an endpoint with faulty answers."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections import defaultdict
from dataclasses import dataclass, field

from lagoonwing_platform.const import HEADER_ATTEMPT_ID, HEADER_NOT_EXECUTED, HEADER_SIGNATURE
from soak.const import EVENTS
from soak.faulty_answers import AnswerFault, AnswerFaults, AnswerParts, Framing
from soak.second_answers import AnswerRecords

_MAX_WORK_S = 0.04
_MAX_DELAY_S = 0.5
_MAX_WRITE_PAUSE_S = 0.1
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# What was sent last on a connection, as shown with a violation.
_SHOWN_NOTES = 8
_SHOWN_BYTES = 200


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as it arrived at an endpoint.

    Attributes:
        last_event: Last event of a stream that the caller has; the events after it are wanted.
    """

    attempt_id: str
    method: str
    path: str
    body: bytes
    last_event: int = field(default=0, compare=False)

    @property
    def kind(self) -> str:
        """Name of the route: safe, unsafe or stream."""
        return self.path.split("/")[1]


@dataclass
class FaultyRecord:
    """What endpoints with faulty answers received and sent.

    Attributes:
        runs: Requests that were executed, in order.
        notes_by_id: What was sent on the connections that carried a request, by its attempt id.
    """

    answers: AnswerRecords
    runs: list[ReceivedRequest] = field(default_factory=list)
    notes_by_id: defaultdict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    connections: int = 0


def encode_events(attempt_id: str, last_event: int) -> bytes:
    """Return the events of a stream that follow one of them."""
    numbers = range(last_event + 1, EVENTS + 1)
    return "".join(f"id: {number}\ndata: {attempt_id}\n\n" for number in numbers).encode()


class FaultyConnection:
    """Answers the requests on one connection, with faults."""

    def __init__(
        self,
        endpoint_id: str,
        writer: asyncio.StreamWriter,
        rng: random.Random,
        faults: AnswerFaults,
        record: FaultyRecord,
    ) -> None:
        record.connections += 1
        self._name = f"{endpoint_id}/{record.connections}"
        self._endpoint_id = endpoint_id
        self._writer = writer
        self._rng = rng
        self._faults = faults
        self._record = record
        self._held_back = b""
        self._late = b""
        self._is_writing = False
        self._is_cut = False
        self._notes: list[str] = []

    async def async_respond(self, request: ReceivedRequest, is_misdirected: bool) -> None:
        """Answer one request.

        Raises:
            ConnectionError: The connection ends with this answer.
        """
        if self._is_cut:
            return
        if self._rng.random() < 0.5:
            self._write_held_back()
        await asyncio.sleep(self._rng.uniform(0.0, _MAX_WORK_S))
        parts = self._execute(request, 421 if is_misdirected else self._faults.draw_status())
        framing = self._faults.draw_framing()
        own_fault = self._faults.draw_own_fault()
        fault_name = "whole" if own_fault is None else own_fault.value
        self._note(f"{parts.status} to {request.attempt_id} by {framing.value}, {fault_name}")
        self._record.notes_by_id[request.attempt_id] += self._notes[-_SHOWN_NOTES:]
        await self._async_write_own(parts, framing, own_fault)
        self._send_extra(parts)

    def _execute(self, request: ReceivedRequest, status: int) -> AnswerParts:
        """Execute a request, unless the status is a refusal, and return the answer."""
        echo = {HEADER_ATTEMPT_ID: request.attempt_id}
        if status in (421, 503):
            return AnswerParts(status, {**echo, HEADER_NOT_EXECUTED: "1"}, b"not executed")
        self._record.runs.append(request)
        if request.kind == "stream" and status == 200:
            echo["Content-Type"] = "text/event-stream"
            body = encode_events(request.attempt_id, request.last_event)
            # A resumed stream keeps the signature of its first endpoint.
            whole_body = encode_events(request.attempt_id, 0)
        else:
            body = whole_body = self._faults.draw_body(request.attempt_id, status)
        signature = self._record.answers.sign(self._name, request.attempt_id, status, whole_body)
        return AnswerParts(status, {**echo, HEADER_SIGNATURE: signature}, body)

    async def _async_write_own(
        self, parts: AnswerParts, framing: Framing, fault: AnswerFault | None
    ) -> None:
        """Write the answer to a request.

        Raises:
            ConnectionError: The connection ends with this answer.
        """
        before, self._held_back = self._held_back, b""
        own = self._faults.encode(parts, framing)
        match fault:
            case AnswerFault.CUT_CLOSED:
                self._writer.write(before + self._faults.cut(own))
                self._end(must_reset=framing is Framing.CONNECTION_END)
            case AnswerFault.CUT_OPEN:
                self._is_cut = True
                self._writer.write(before + self._faults.cut(own))
            case AnswerFault.CUT_FILLED:
                self._is_cut = True
                self._writer.write(before + self._faults.cut(own))
                await asyncio.sleep(self._rng.choice((0.0, _MAX_WRITE_PAUSE_S)))
                if framing is not Framing.CONNECTION_END:
                    self._writer.write(self._faults.make_extra(AnswerFault.EXTRA_WHOLE, parts))
            case AnswerFault.GARBAGE:
                self._is_cut = True
                self._writer.write(self._faults.make_garbage())
                if self._rng.random() < 0.5:
                    self._end(must_reset=False)
            case AnswerFault.TWO_WRITES:
                await self._async_write_twice(before + own)
            case _:
                self._writer.write(before + own)
        if framing is Framing.CONNECTION_END and not self._is_cut:
            self._end(must_reset=False)
        self._writer.write(self._late)
        self._late = b""

    async def _async_write_twice(self, answer: bytes) -> None:
        """Write an answer in two parts; nothing comes between them."""
        self._is_writing = True
        middle = self._rng.randrange(1, len(answer))
        self._writer.write(answer[:middle])
        await asyncio.sleep(self._rng.uniform(0.0, _MAX_WRITE_PAUSE_S))
        self._writer.write(answer[middle:])
        self._is_writing = False

    def _send_extra(self, parts: AnswerParts) -> None:
        """Send bytes behind an answer: at once, later, or with the next answer."""
        extra = self._faults.draw_extra()
        if extra is None or self._is_cut:
            return
        data = self._faults.make_extra(extra, parts)
        moment = self._rng.choice(("at once", "later", "with the next answer"))
        self._note(f"{extra.value} {moment}: {data[:_SHOWN_BYTES]!r}")
        match moment:
            case "at once":
                self._writer.write(data)
            case "later":
                delay_s = self._rng.uniform(0.0, _MAX_DELAY_S)
                asyncio.get_running_loop().call_later(delay_s, self._write_late, data)
            case _:
                self._held_back += data

    def _write_held_back(self) -> None:
        """Write what was held back until the next request."""
        self._writer.write(self._held_back)
        self._held_back = b""

    def _write_late(self, data: bytes) -> None:
        """Write late bytes, never into the middle of an answer."""
        if self._is_writing:
            self._late += data
        elif not self._is_cut and not self._writer.transport.is_closing():
            self._writer.write(data)

    def _end(self, *, must_reset: bool) -> None:
        """End the connection; a body without framing that was cut must end with a reset.

        Raises:
            ConnectionError: Always; the endpoint closes the connection.
        """
        if must_reset:
            peer: socket.socket = self._writer.get_extra_info("socket")
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        raise ConnectionError

    def _note(self, text: str) -> None:
        """Note what is sent."""
        now = asyncio.get_running_loop().time()
        self._notes.append(f"{now:.3f} {self._name}: {text}")
