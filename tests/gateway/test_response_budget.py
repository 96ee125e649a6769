"""Bytes of responses that a gateway holds, and which response gives way."""

from __future__ import annotations

import asyncio

import pytest
from tornado.httputil import HTTPHeaders

from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._final_response import KeptFailure
from lagoonwing_gateway.models import CompleteResponse, Failed, NotRun, ResponseInfo
from lagoonwing_http import (
    AnswerTooLargeError,
    Exchange,
    HeldBytes,
    ResponseBudget,
    ResponseHead,
    ResponseMatch,
)

MAX_BYTES = 1_000
TIMEOUT_S = 1.0


def _exchange(budget: ResponseBudget) -> Exchange:
    """Return an exchange whose response has begun to arrive."""
    exchange = Exchange(lambda headers: ResponseMatch.OWN)
    exchange.count_in(budget)
    exchange.on_head(ResponseHead(200, HTTPHeaders(), is_framed=True))
    return exchange


def _failure(body: bytes) -> Failed:
    """Return the outcome of an attempt that was answered with a failure."""
    info = ResponseInfo(500, False, True, False, None)
    response = CompleteResponse(info, HTTPHeaders(), body)
    return Failed("the endpoint answered 500", (EndpointId("e-1"),), response)


def test_largest_response_gives_way() -> None:
    """The others keep their bytes, also the one whose bytes were the last to arrive."""
    budget = ResponseBudget(MAX_BYTES)
    gave_way: list[str] = []
    accounts: dict[str, HeldBytes] = {}
    for name, size in (("small", 100), ("large", 600), ("medium", 250)):
        accounts[name] = budget.open(lambda name=name: gave_way.append(name))
        accounts[name].resize(size)
    accounts["small"].resize(200)
    assert gave_way == ["large"]
    assert budget.held_bytes == 450
    accounts["large"].resize(10_000)
    assert budget.held_bytes == 450
    accounts["medium"].close()
    accounts["medium"].close()
    assert budget.held_bytes == 200


# Guards against endless answers, each of them cut early, that push out a larger sound one.
@pytest.mark.parametrize(
    "source", [("endless", "e-1"), ("plain", "p-2")], ids=["service", "endpoint"]
)
def test_source_that_holds_most_gives_way(source: tuple[str, str]) -> None:
    """A larger response of another service, or of another endpoint of it, stays."""
    budget = ResponseBudget(MAX_BYTES)
    gave_way: list[int] = []
    sound = budget.open(lambda: gave_way.append(-1), ("plain", "p-1"))
    sound.resize(300)
    endless = [budget.open(lambda n=n: gave_way.append(n), source) for n in range(10)]
    for number, account in enumerate(endless):
        account.resize(100 + number)
    assert gave_way
    assert -1 not in gave_way
    assert sound.size == 300


def test_response_over_the_whole_budget_gives_way_itself() -> None:
    """Nothing is held of it afterwards."""
    budget = ResponseBudget(MAX_BYTES)
    gave_way: list[bool] = []
    budget.open(lambda: gave_way.append(True)).resize(MAX_BYTES + 1)
    assert gave_way == [True]
    assert budget.held_bytes == 0


async def test_endless_body_gives_way_to_a_sound_one() -> None:
    """Its reader fails as for one that is too large; the other body arrives whole."""
    budget = ResponseBudget(MAX_BYTES)
    endless, sound = _exchange(budget), _exchange(budget)
    endless_body = asyncio.ensure_future(endless.async_read_body(TIMEOUT_S, 10 * MAX_BYTES))
    sound_body = asyncio.ensure_future(sound.async_read_body(TIMEOUT_S, MAX_BYTES))
    sound.on_data(b"s" * 100)
    for _ in range(20):
        endless.on_data(b"e" * 100)
        await asyncio.sleep(0)
        assert budget.held_bytes <= MAX_BYTES
    sound.on_data(b"s" * 100)
    sound.on_finish()
    assert await sound_body == b"s" * 200
    with pytest.raises(AnswerTooLargeError):
        await endless_body
    for exchange in (endless, sound):
        exchange.release()
    assert budget.held_bytes == 0


async def test_response_that_gave_way_never_looks_complete() -> None:
    """Not even if its end had arrived before it was read."""
    budget = ResponseBudget(MAX_BYTES)
    exchange = _exchange(budget)
    exchange.on_data(b"x" * 600)
    exchange.on_finish()
    budget.open(lambda: None).resize(500)
    with pytest.raises(AnswerTooLargeError):
        await exchange.async_read_chunk(TIMEOUT_S)


async def test_unread_bytes_and_partial_events_of_streams_count_together() -> None:
    """What was passed on counts no more."""
    budget = ResponseBudget(MAX_BYTES)
    streams = [_exchange(budget) for _ in range(3)]
    for stream in streams:
        stream.on_data(b"x" * 200)
        await stream.async_read_chunk(TIMEOUT_S)
    assert budget.held_bytes == 0
    for stream in streams:
        stream.set_rest(200)
    assert budget.held_bytes == 600
    streams[0].on_data(b"x" * 500)
    assert budget.held_bytes == 400
    with pytest.raises(AnswerTooLargeError):
        await streams[0].async_read_chunk(TIMEOUT_S)
    for stream in streams:
        stream.release()
    assert budget.held_bytes == 0


def test_kept_failure_gives_way_and_stays_known() -> None:
    """The request may have run, even if the response that said so was dropped."""
    budget = ResponseBudget(MAX_BYTES)
    kept = KeptFailure(budget)
    outcome = kept.record(_failure(b"x" * 600))
    assert isinstance(outcome, Failed)
    assert outcome.response is None
    assert budget.held_bytes == 600
    kept.record(NotRun("the endpoint refused it with 503", ()))
    budget.open(lambda: None).resize(500)
    assert budget.held_bytes == 500
    failure = kept.take()
    assert failure is not None
    assert failure.response is None


def test_kept_failure_is_released_when_it_is_taken() -> None:
    """A later response takes the place of an earlier one."""
    budget = ResponseBudget(MAX_BYTES)
    kept = KeptFailure(budget)
    kept.record(_failure(b"x" * 600))
    kept.record(_failure(b"y" * 300))
    assert budget.held_bytes == 300
    failure = kept.take()
    assert failure is not None
    assert failure.response is not None
    assert failure.response.body == b"y" * 300
    assert budget.held_bytes == 0


# Guards against sound answers that fail since callers who read slowly hold all the memory.
def test_answers_that_slow_callers_hold_give_way_to_sound_ones() -> None:
    """The small answers of one service stay, although together they are larger than each."""
    budget = ResponseBudget(MAX_BYTES)
    gave_way: list[str] = []
    for _ in range(9):
        budget.open(lambda: gave_way.append("slow")).resize(100)
    for name in ("p-1", "p-2", "p-3"):
        budget.open(lambda: gave_way.append("sound"), ("plain", name)).resize(40)
    assert gave_way == ["slow"]


# Guards against endless answers that push out those which callers are taking.
def test_answers_that_callers_take_stay_beside_a_service_that_holds_more_than_each() -> None:
    """As long as all of them leave endpoints their part of the budget."""
    budget = ResponseBudget(MAX_BYTES)
    gave_way: list[str] = []
    for _ in range(7):
        budget.open(lambda: gave_way.append("caller")).resize(100)
    for _ in range(8):
        budget.open(lambda: gave_way.append("endless"), ("endless", "e-1")).resize(40)
    assert gave_way == ["endless"]


# Guards against a part of the budget that an endless service can't lose.
def test_service_that_holds_most_gives_way_beside_slow_callers() -> None:
    """The part that is left to endpoints does not grow with what one of them sends."""
    budget = ResponseBudget(MAX_BYTES)
    gave_way: list[str] = []
    for _ in range(4):
        budget.open(lambda: gave_way.append("caller")).resize(100)
    for _ in range(20):
        budget.open(lambda: gave_way.append("endless"), ("endless", "e-1")).resize(100)
    assert set(gave_way) == {"endless"}
    assert budget.held_bytes <= MAX_BYTES
