"""Second answers that are cut at each byte, and streams that are cut and written again."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest
from cut_cases import Kind, async_run_cases, async_run_pairs, describe
from cutting_endpoints import (
    ARRIVAL_S,
    Case,
    Cut,
    CuttingEndpoint,
    Moment,
    Owner,
    case_ids,
    cuts_of,
)
from platform_deployment import Deployment
from raw_answers import Answer, AnswerMaker, Framing, event, failure, second_success, success

# So many that the rest of a stream holds a second head and an event.
EVENTS = 10
FIRST_EVENTS = 2


def _stream(framing: Framing, stamp: str, text: str) -> AnswerMaker:
    """Return the maker of a stream."""
    return lambda attempt_id: Answer(200, attempt_id, stamp, _events(text), framing)


def _events(text: str, first: int = 1, last: int = EVENTS) -> bytes:
    """Return the events of a stream from one number to another."""
    return b"".join(event(number, f"{text} {number}") for number in range(first, last + 1))


# Guards against a stream with the status or the head of another answer.
@pytest.mark.parametrize(
    ("kind", "sets"),
    [
        (
            Kind.PLAIN_STREAM,
            [
                (Moment.BEHIND, Owner.EARLIER, failure),
                (Moment.FRONT, Owner.EARLIER, failure),
                (Moment.FRONT_ALONE, Owner.DUE, success),
            ],
        ),
        (
            Kind.ENGINE_STREAM,
            [(Moment.FRONT, Owner.DUE, failure), (Moment.FRONT_ALONE, Owner.EARLIER, success)],
        ),
    ],
    ids=["plain", "engine"],
)
async def test_cut_answer_around_a_stream_joins_no_answer(
    deployment: Deployment, kind: Kind, sets: list[tuple[Moment, Owner, AnswerMaker]]
) -> None:
    """A stream on a kept connection, or its failure, is not joined with a second answer."""
    cases = [
        Case(cut, moment, make_due, is_stream=True)
        for moment, owner, make_due in sets
        for cut in cuts_of([second_success(Framing.LENGTH)], owner)
    ]
    faults = await async_run_cases(deployment, cases, kind)
    assert not faults, describe(faults, len(cases))


@dataclass
class ResumedEndpoint(CuttingEndpoint):
    """One of a pair of endpoints: the first breaks off in a stream, the second resumes it."""

    async def async_write_due(self, writer: asyncio.StreamWriter) -> None:
        """Write the first events and end the connection."""
        due = self.case.make_due(self.ids[1])
        size = len(_size_line(due)) + len(_events("token", 1, FIRST_EVENTS))
        writer.write(due.head + due.framed_body[:size])
        await asyncio.sleep(ARRIVAL_S)
        writer.close()

    def write_other(self, writer: asyncio.StreamWriter, attempt_id: str) -> None:
        """Resume the due stream behind the bytes of the case, or in their place."""
        if attempt_id != self.ids[1]:
            super().write_other(writer, attempt_id)
            return
        writer.write(self.case.cut.make_foreign(*self.ids))
        if self.case.moment is Moment.FRONT:
            writer.write(_resumed(attempt_id).content)


def _size_line(answer: Answer) -> bytes:
    """Return the line in front of the first chunk."""
    return answer.framed_body.partition(b"\r\n")[0] + b"\r\n"


def _resumed(attempt_id: str | None) -> Answer:
    """Return the rest of a stream that broke off."""
    rest = _events("token", FIRST_EVENTS + 1)
    return Answer(200, attempt_id, "again", rest)


def _cut_and_second(due: AnswerMaker, second: AnswerMaker, end: int) -> Cut:
    """Return the first bytes of a stream, followed by a whole second answer to its request."""
    return Cut(f"due[:{end}]", lambda _, due_id: due(due_id).content[:end] + second(due_id).content)


async def _async_run_resumed(deployment: Deployment, cases: list[Case], kind: Kind) -> None:
    """Play cases in the second attempts of streams, and check the rule on mixed answers."""
    pairs = []
    for number, case in enumerate(cases):
        ids, runs = case_ids(number), list[str]()
        pairs.append((ResumedEndpoint(case, ids, runs), ResumedEndpoint(case, ids, runs)))
    faults = await async_run_pairs(deployment, pairs, kind)
    assert not faults, describe(faults, len(cases))
    resumed = [first for first, _ in pairs if first.runs.count(first.ids[1]) == 2]
    assert len(resumed) > len(pairs) / 2


# Guards against the head of a second answer where a resumed stream begins.
async def test_cut_answer_in_front_does_not_join_a_resumed_stream(deployment: Deployment) -> None:
    """The head of the second attempt is read as strictly as that of the first."""
    due = _stream(Framing.ONE_CHUNK, "first", "token")
    cuts = cuts_of([second_success(Framing.LENGTH)], Owner.DUE)
    cases = [Case(cut, Moment.FRONT, due, is_stream=True) for cut in cuts]
    await _async_run_resumed(deployment, cases, Kind.PLAIN_STREAM)


# Guards against the head or the events of a second answer in a stream that is resumed.
async def test_resumed_stream_that_is_cut_and_written_again_is_not_joined(
    deployment: Deployment,
) -> None:
    """The body of the second attempt is read as strictly as that of the first."""
    due = _stream(Framing.ONE_CHUNK, "first", "token")
    # So short that the rest of the first answer holds its head and an event.
    second = _stream(Framing.LENGTH, "second", "x")
    resumed = _resumed(case_ids(0)[1])
    cases = [
        Case(_cut_and_second(_resumed, second, end), Moment.INSTEAD, due, is_stream=True)
        for end in range(len(resumed.head), len(resumed.content))
    ]
    await _async_run_resumed(deployment, cases, Kind.ENGINE_STREAM)


# Guards against the head of a second answer in an event, and against the events of two answers.
@pytest.mark.parametrize(
    "framing",
    [Framing.LENGTH, Framing.ONE_CHUNK, Framing.CONNECTION],
    ids=lambda framing: framing.value,
)
async def test_stream_that_is_cut_and_written_again_is_not_joined(
    deployment: Deployment, framing: Framing
) -> None:
    """The caller gets events of the first answer only, and sees that they are not complete."""
    due = _stream(framing, "first", "token")
    # Longer, so that it fills up what the first one lacks.
    second = _stream(framing, "second", "token of the second answer")
    moment = Moment.LAST if framing is Framing.CONNECTION else Moment.INSTEAD
    whole = due(case_ids(0)[1])
    # The head differs by framing from its last line on.
    first = 1 if framing is Framing.LENGTH else whole.head.index(whole.stamp.encode())
    cases = [
        Case(_cut_and_second(due, second, end), moment, due, is_stream=True)
        for end in range(first, len(whole.content))
    ]
    faults = await async_run_cases(deployment, cases, Kind.PLAIN_STREAM)
    assert not faults, describe(faults, len(cases))


# Guards against a reader that sees the bytes of one read only.
async def test_stream_that_is_cut_and_written_again_byte_by_byte_is_not_joined(
    deployment: Deployment,
) -> None:
    """The same holds if the answers arrive byte by byte."""
    due = _stream(Framing.LENGTH, "first", "token")
    # So short that the rest of the first answer holds its head and an event.
    second = _stream(Framing.LENGTH, "second", "x")
    whole = due(case_ids(0)[1])
    cases = [
        Case(_cut_and_second(due, second, end), Moment.INSTEAD_BYTEWISE, due, is_stream=True)
        for end in range(len(whole.head), len(whole.content))
    ]
    faults = await async_run_cases(deployment, cases, Kind.PLAIN_STREAM)
    assert not faults, describe(faults, len(cases))
