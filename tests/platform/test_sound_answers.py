"""Sound answers that a strict reader of answers could take for broken ones."""

from __future__ import annotations

import pytest
from cut_cases import async_run_cases, describe
from cutting_endpoints import Case, Cut, Moment, case_ids
from platform_deployment import Deployment
from raw_answers import Answer, AnswerMaker, Framing, event

BODY = event(1, "sound")
INTERIM_HEAD = b"HTTP/1.1 100 Continue\r\n\r\n"
# Lines of a log that an endpoint may answer with; they name no request of the connection.
STATUS_LINE_IN_BODY = b"> HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"


def _maker(framing: Framing, body: bytes = BODY) -> AnswerMaker:
    """Return the maker of a sound answer."""
    return lambda attempt_id: Answer(200, attempt_id, "sound", body, framing)


def _split_at(make: AnswerMaker, end: int) -> Cut:
    """Return the first bytes of an answer."""
    return Cut(f"due[:{end}]", lambda _, due_id: make(due_id).content[:end])


# Guards against a reader that takes a pause within a sound answer for its end.
@pytest.mark.parametrize(
    "framing",
    [Framing.LENGTH, Framing.CHUNKS, Framing.CONNECTION],
    ids=lambda framing: framing.value,
)
async def test_answer_in_two_segments_is_delivered(
    deployment: Deployment, framing: Framing
) -> None:
    """Wherever an answer is split, its caller gets all of it."""
    make = _maker(framing)
    whole = make(case_ids(0)[1])
    # The head differs by framing from its last lines on.
    first = 1 if framing is Framing.LENGTH else whole.head.index(whole.stamp.encode())
    moment = Moment.SPLIT_LAST if framing is Framing.CONNECTION else Moment.SPLIT
    cases = [
        Case(_split_at(make, end), moment, make, own_statuses=())
        for end in range(first, len(whole.content))
    ]
    faults = await async_run_cases(deployment, cases)
    assert not faults, describe(faults, len(cases))


# Guards against a reader that refuses what the protocol allows.
async def test_chunk_extensions_and_trailers_are_read_past(deployment: Deployment) -> None:
    """A chunked answer with extensions and a trailer is delivered, in one segment or in two."""
    make = _maker(Framing.EXTENDED_CHUNKS)
    whole = make(case_ids(0)[1])
    cases = [
        Case(_split_at(make, end), Moment.SPLIT, make, own_statuses=())
        for end in range(len(whole.head), len(whole.content) + 1)
    ]
    faults = await async_run_cases(deployment, cases)
    assert not faults, describe(faults, len(cases))


# Guards against a reader that refuses what an endpoint may answer.
async def test_unusual_sound_answers_are_delivered(deployment: Deployment) -> None:
    """Interim heads, and status lines in a body that name no request, break no answer."""
    plain = _maker(Framing.LENGTH)
    cases = [
        Case(Cut("interim head", lambda *ids: INTERIM_HEAD), moment, plain, own_statuses=())
        for moment in (Moment.FRONT, Moment.FRONT_ALONE)
    ]
    for framing in (Framing.LENGTH, Framing.CHUNKS, Framing.ONE_CHUNK):
        make = _maker(framing, STATUS_LINE_IN_BODY)
        size = len(make(case_ids(0)[1]).content)
        cases += [
            Case(_split_at(make, end), Moment.SPLIT, make, own_statuses=())
            for end in (size - len(STATUS_LINE_IN_BODY), size)
        ]
    faults = await async_run_cases(deployment, cases)
    assert not faults, describe(faults, len(cases))
