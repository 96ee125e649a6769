"""Endpoints that write parts of second answers, and what must be true of them.

A second answer belongs to no request. Each case has an endpoint of its own: one that sent bytes
which no request asked for may be treated with more care afterwards.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from raw_answers import REPORT, AnswerMaker, Reply, async_read_request, failure, success

from lagoonwing_fakes.platform.const import ADDRESS
from lagoonwing_platform.const import HEADER_ATTEMPT_ID

# Statuses of a gateway's own failure that leave open whether the request ran.
MAY_HAVE_RUN_STATUSES = (502, 504)
# Time in which written bytes arrive at a gateway in the same process.
ARRIVAL_S = 0.005


class Owner(Enum):
    """Request whose id a second answer names."""

    EARLIER = "earlier"
    DUE = "due"
    NOBODY = "nobody"


class Connection(Enum):
    """Connection on which a request came; a late one may not come at all."""

    NONE = "none"
    NEW = "new"
    KEPT = "kept"


class Moment(Enum):
    """When bytes that belong to no request are written.

    BEHIND: in one segment with the whole answer before. IDLE: while no request waits. FRONT: in
    one segment with the due answer, in front of it. FRONT_ALONE: in front of it, in a segment of
    their own. WITHIN: between the head and the body of the due answer, in one segment.
    WITHIN_ALONE: there, in a segment of their own. INSTEAD: in place of the due answer.
    LAST: likewise, and the connection ends behind them. SPLIT: they are the first of the due
    answer, whose others follow in a segment of their own. SPLIT_LAST: likewise, and the connection
    ends behind it. FRONT_BYTEWISE and INSTEAD_BYTEWISE: as without, each byte in a segment of its
    own.
    """

    BEHIND = "behind"
    IDLE = "idle"
    FRONT = "front"
    FRONT_ALONE = "front_alone"
    WITHIN = "within"
    WITHIN_ALONE = "within_alone"
    INSTEAD = "instead"
    LAST = "last"
    SPLIT = "split"
    SPLIT_LAST = "split_last"
    FRONT_BYTEWISE = "front_bytewise"
    INSTEAD_BYTEWISE = "instead_bytewise"


@dataclass(frozen=True, slots=True)
class Cut:
    """Bytes that belong to no request: the first ones of a second answer, or others.

    Attributes:
        label: What a failure is reported under.
        make_foreign: Returns the bytes for the ids of the earlier and of the due request.
    """

    label: str
    make_foreign: Callable[[str, str], bytes]


def cuts_of(makers: list[AnswerMaker], owner: Owner) -> list[Cut]:
    """Return a cut at each byte of second answers, without those that have the same bytes.

    A whole answer to the due request is no case: nothing tells it from the due answer.

    Args:
        makers: Return the second answers.
        owner: Request whose id they name.
    """
    cut_by_content: dict[bytes, Cut] = {}
    for index, make in enumerate(makers):
        size = len(_content(make, owner, *case_ids(0)))
        for end in range(1, size + (owner is not Owner.DUE)):
            cut = Cut(f"{owner.value} {index}[:{end}]", _cut_maker(make, owner, end))
            cut_by_content.setdefault(cut.make_foreign(*case_ids(0)), cut)
    return list(cut_by_content.values())


def has_named_head(cut: Cut) -> bool:
    """Return whether the bytes hold a status line and a whole line with an id."""
    line = f"\r\n{HEADER_ATTEMPT_ID}: [ab]-[0-9]{{4}}\r\n".encode()
    return re.search(line, cut.make_foreign(*case_ids(0))) is not None


def _cut_maker(make: AnswerMaker, owner: Owner, end: int) -> Callable[[str, str], bytes]:
    """Return the maker of the first bytes of a second answer."""
    return lambda earlier_id, due_id: _content(make, owner, earlier_id, due_id)[:end]


def _content(make: AnswerMaker, owner: Owner, earlier_id: str, due_id: str) -> bytes:
    """Return the bytes of a whole second answer."""
    match owner:
        case Owner.EARLIER:
            return make(earlier_id).content
        case Owner.DUE:
            return make(due_id).content
        case Owner.NOBODY:
            return make(None).content


@dataclass(frozen=True, slots=True)
class Case:
    """A cut, and what it must not change.

    Attributes:
        moment: When the bytes are written.
        make_due: Returns the answer that the second request is due.
        own_statuses: Statuses with which the gateway itself may fail the second request.
        make_sound: Returns the answers to all other requests.
        is_stream: Whether the caller may get the first events of the due answer, and see that it
            is not complete.
    """

    cut: Cut
    moment: Moment
    make_due: AnswerMaker = failure
    own_statuses: tuple[int, ...] = MAY_HAVE_RUN_STATUSES
    make_sound: AnswerMaker = success
    is_stream: bool = False

    @property
    def label(self) -> str:
        """What a fault is reported under."""
        return f"{self.moment.value} {self.cut.label}"

    def is_kept(self, reply: Reply, due_id: str) -> bool:
        """Return whether a reply to the second request keeps the rule on mixed answers."""
        due = self.make_due(due_id)
        if self.is_stream and reply.is_begin_of(due):
            return True
        return reply.is_answer(due) or reply.is_own_failure(self.own_statuses)


def case_ids(number: int) -> tuple[str, str]:
    """Return the ids of the earlier and of the due request of a case; all have one length."""
    return f"a-{number:04}", f"b-{number:04}"


@dataclass
class CuttingEndpoint:
    """An endpoint that writes bytes that belong to no request once, and serves on.

    Attributes:
        ids: Ids of the earlier and of the due request.
        runs: Ids of the requests that it ran, or that any endpoint with this list ran.
        due_connection: Connection on which the due request came, if it did.
    """

    case: Case
    ids: tuple[str, str]
    runs: list[str] = field(default_factory=list)
    due_connection: Connection = Connection.NONE
    id_header: str = HEADER_ATTEMPT_ID
    port: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def async_start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._async_serve, ADDRESS, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def async_stop(self) -> None:
        """Close the port and all connections."""
        if self._server is None:
            return
        self._server.close()
        for writer in list(self._writers):
            writer.close()
        await self._server.wait_closed()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self._writers.add(writer)
        is_kept = False
        try:
            while True:
                attempt_id = await async_read_request(reader, self.id_header)
                if attempt_id is None:
                    writer.write(REPORT.content)
                    continue
                attempt_id = self.identify(attempt_id)
                is_first_run = attempt_id not in self.runs
                self.runs.append(attempt_id)
                if attempt_id == self.ids[1] and is_first_run:
                    self.due_connection = Connection.KEPT if is_kept else Connection.NEW
                    await self.async_write_due(writer)
                elif attempt_id == self.ids[0] and is_first_run:
                    await self._async_write_earlier(writer)
                else:
                    self.write_other(writer, attempt_id)
                is_kept = True
        except (EOFError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def identify(self, attempt_id: str) -> str:
        """Return the id by which a request is known to the case."""
        return attempt_id

    def write_other(self, writer: asyncio.StreamWriter, attempt_id: str) -> None:
        """Answer any other request, or the due one again."""
        writer.write(self.case.make_sound(attempt_id).content)

    async def _async_write_earlier(self, writer: asyncio.StreamWriter) -> None:
        """Answer the earlier request."""
        content = self.case.make_sound(self.ids[0]).content
        foreign = self.case.cut.make_foreign(*self.ids)
        match self.case.moment:
            case Moment.BEHIND:
                writer.write(content + foreign)
            case Moment.IDLE:
                writer.write(content)
                await asyncio.sleep(ARRIVAL_S)
                writer.write(foreign)
            case _:
                writer.write(content)

    async def async_write_due(self, writer: asyncio.StreamWriter) -> None:
        """Answer the due request."""
        due = self.case.make_due(self.ids[1])
        foreign = self.case.cut.make_foreign(*self.ids)
        match self.case.moment:
            case Moment.FRONT:
                writer.write(foreign + due.content)
            case Moment.FRONT_ALONE:
                writer.write(foreign)
                await asyncio.sleep(ARRIVAL_S)
                writer.write(due.content)
            case Moment.WITHIN:
                writer.write(due.head + foreign + due.framed_body)
            case Moment.WITHIN_ALONE:
                for part in (due.head, foreign, due.framed_body):
                    writer.write(part)
                    await asyncio.sleep(ARRIVAL_S)
            case Moment.INSTEAD:
                writer.write(foreign)
            case Moment.FRONT_BYTEWISE:
                await _async_write_bytewise(writer, foreign + due.content)
            case Moment.INSTEAD_BYTEWISE:
                await _async_write_bytewise(writer, foreign)
            case Moment.LAST:
                writer.write(foreign)
                writer.close()
            case Moment.SPLIT | Moment.SPLIT_LAST:
                writer.write(foreign)
                await asyncio.sleep(ARRIVAL_S)
                writer.write(due.content[len(foreign) :])
                if self.case.moment is Moment.SPLIT_LAST:
                    writer.close()
            case _:
                writer.write(due.content)


async def _async_write_bytewise(writer: asyncio.StreamWriter, content: bytes) -> None:
    """Write each byte in a segment of its own, and let its reader run in between."""
    for number in range(len(content)):
        writer.write(content[number : number + 1])
        await asyncio.sleep(0)
