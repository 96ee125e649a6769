"""Random sequences of second answers, cut ones and garbage in front of the due answer."""

from __future__ import annotations

import random

import pytest
from cut_cases import async_run_cases, describe
from cutting_endpoints import Case, Cut, Moment
from platform_deployment import Deployment
from raw_answers import Answer, Framing, event

CASES = 200
MAX_PIECES = 3
MOMENTS = (Moment.BEHIND, Moment.IDLE, Moment.FRONT, Moment.FRONT_ALONE, Moment.FRONT_BYTEWISE)
FRAMINGS = (Framing.LENGTH, Framing.EXTENDED_CHUNKS, Framing.CONNECTION)
GARBAGE = (b"\n", b"\r\n", b"\r\n\r\n", b"\0", b"x", b": ", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 ")


def _piece(rng: random.Random, earlier_id: str, due_id: str) -> bytes:
    """Return garbage, or a second answer that is cut, or a whole one to an earlier request."""
    if rng.random() < 0.3:
        return rng.choice(GARBAGE)
    owner = rng.choice((earlier_id, earlier_id, due_id, None))
    status, framing = rng.choice((200, 503)), rng.choice(FRAMINGS)
    answer = Answer(status, owner, "second", event(9, "late"), framing)
    if owner == earlier_id and framing is not Framing.CONNECTION and rng.random() < 0.2:
        return answer.content
    # With all of its head, an answer to the due request may be the due one.
    size = len(answer.head) if owner == due_id else len(answer.content)
    return answer.content[: rng.randrange(1, size)]


def _cut(seed: int, number: int) -> Cut:
    """Return the bytes of a case."""

    def make(earlier_id: str, due_id: str) -> bytes:
        rng = random.Random(seed * CASES + number)
        pieces = rng.randint(1, MAX_PIECES)
        return b"".join(_piece(rng, earlier_id, due_id) for _ in range(pieces))

    return Cut(f"seed {seed} case {number}", make)


# Guards against joined answers that no cut at a single byte shows.
@pytest.mark.parametrize("seed", [1])
async def test_random_bytes_in_front_join_no_answer(deployment: Deployment, seed: int) -> None:
    """Callers get the due answer or a failure, whatever came before it."""
    cases = [Case(_cut(seed, number), MOMENTS[number % len(MOMENTS)]) for number in range(CASES)]
    faults = await async_run_cases(deployment, cases)
    assert not faults, describe(faults, len(cases))
