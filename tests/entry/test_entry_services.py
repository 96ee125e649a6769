"""Plain calls: one dispatch for those that may run only once, and truth about each."""

from __future__ import annotations

import asyncio
import json

import pytest
from entry_cell import ADDRESS, Cell, Host, async_until, request_bytes
from tornado.httpclient import HTTPResponse
from tornado.tcpclient import TCPClient

from lagoonwing_fakes import Fault, FaultPlan

RESERVE = "/services/names/reserve"
CHECK = "/services/names/check"
KEYED = {"Idempotency-Key": "k1"}
MAX_CALLS = 50


async def _async_reserve(host: Host, name: str = "lagoa", **headers: str) -> HTTPResponse:
    """Reserve a name under a key."""
    return await host.async_request(RESERVE, {"name": name}, headers={**KEYED, **headers})


async def test_a_call_that_may_repeat_is_tried_again(cell: Cell) -> None:
    """A lost answer of an idempotent call is asked for elsewhere."""
    host = await cell.async_add_host()
    await cell.async_add_service("v1", plan=FaultPlan(fault=Fault.RESET))
    await cell.async_add_service("v2")
    # Which endpoint comes first is the router's choice, so calls go on until it is the faulty one.
    for number in range(MAX_CALLS):
        answer = await host.async_request(CHECK, {"name": f"x{number}"})
        assert answer.headers["X-Outcome"] == "done"
        if len(cell.truth("effect")) > number + 1:
            break
    assert [line["endpoint"] for line in cell.truth("effect")][-2:] == ["v1", "v2"]


@pytest.mark.parametrize("fault", [Fault.RESET, Fault.TRUNCATED, Fault.CROSSED])
@pytest.mark.parametrize("headers", [{}, KEYED])
async def test_a_lost_answer_is_unknown_and_never_dispatched_again(
    cell: Cell, fault: Fault, headers: dict[str, str]
) -> None:
    """With or without a key there is one dispatch, and no claim that it did not run."""
    host = await cell.async_add_host()
    await cell.async_add_service("v1", plan=FaultPlan(fault=fault))
    await cell.async_add_service("v2")
    answer = await host.async_request(RESERVE, {"name": "x"}, headers=headers)
    assert answer.headers["X-Outcome"] == "unknown"
    if headers:
        other = await cell.async_add_host()
        await cell.async_announce(cell.fakes["v2"])
        again = await other.async_request(RESERVE, {"name": "x"}, headers=headers)
        assert again.headers["X-Outcome"] == "unknown"
    assert len(cell.truth("effect")) == 1


async def test_nothing_sent_may_be_dispatched_elsewhere(cell: Cell) -> None:
    """A refused connection proves that the call did not run, so another endpoint may."""
    host = await cell.async_add_host()
    gone = await cell.async_add_service("v1")
    await cell.async_add_service("v2")
    await gone.async_unload()
    answer = await _async_reserve(host)
    assert answer.headers["X-Outcome"] == "done"
    assert [line["endpoint"] for line in cell.truth("effect")] == ["v2"]


async def test_a_refused_call_gives_its_claim_back(cell: Cell) -> None:
    """What provably did not run may be sent again under its key."""
    host = await cell.async_add_host()
    fake = await cell.async_add_service("v1", plan=FaultPlan(fault=Fault.REFUSE))
    refused = await _async_reserve(host, **{"X-Deadline-Ms": "500"})
    assert refused.headers["X-Outcome"] == "not_run"
    fake.engine.order(FaultPlan())
    answer = await _async_reserve(host)
    assert answer.headers["X-Outcome"] == "done"
    assert len(cell.truth("effect")) == 1


async def test_a_lost_claim_answer_is_unknown_and_given_back(cell: Cell) -> None:
    """The claim may stand although its answer was lost; nothing is dispatched on it."""
    host = await cell.async_add_host()
    await cell.async_add_service("v1")
    cell.table.lose_claim_answers = True
    lost = await _async_reserve(host)
    assert lost.headers["X-Outcome"] == "unknown"
    assert lost.headers["X-Result-Code"] == "6011"
    assert not cell.truth("effect")
    cell.table.lose_claim_answers = False
    await async_until(lambda: not cell.table.claim_by_key)
    assert (await _async_reserve(host)).headers["X-Outcome"] == "done"
    assert len(cell.truth("effect")) == 1


async def test_a_call_in_progress_elsewhere_is_unknown(cell: Cell) -> None:
    """A resend to another host while the first call runs is never dispatched."""
    first = await cell.async_add_host()
    second = await cell.async_add_host()
    fake = await cell.async_add_service("v1", plan=FaultPlan(fault=Fault.FREEZE))
    running = asyncio.create_task(_async_reserve(first))
    await async_until(lambda: cell.truth("effect"))
    resent = await _async_reserve(second)
    assert resent.code == 409
    assert resent.headers["X-Outcome"] == "unknown"
    assert resent.headers["X-Result-Code"] == "5004"
    fake.engine.order(FaultPlan())
    assert (await running).headers["X-Outcome"] == "done"
    assert (await _async_reserve(second)).headers["X-Result-Code"] == "1001"
    assert len(cell.truth("effect")) == 1


async def test_a_caller_who_leaves_does_not_lose_the_outcome(cell: Cell) -> None:
    """The dispatch goes on without its caller, and a resend gets the answer."""
    host = await cell.async_add_host()
    fake = await cell.async_add_service("v1", plan=FaultPlan(fault=Fault.FREEZE, count=1))
    body = json.dumps({"name": "lagoa"}).encode()
    stream = await TCPClient().connect(ADDRESS, host.caller_port)
    await stream.write(request_bytes(RESERVE, body, "Idempotency-Key: k1"))
    await async_until(lambda: cell.truth("effect"))
    stream.close()
    await asyncio.sleep(0.05)
    fake.engine.order(FaultPlan())
    await host.entry.runner.async_wait_idle()
    await async_until(lambda: cell.table.answer_by_key)
    again = await _async_reserve(host)
    assert again.headers["X-Result-Code"] == "1001"
    assert len(cell.truth("effect")) == 1


async def test_a_key_used_with_another_body_is_refused(cell: Cell) -> None:
    """The other body did not run, and the first answer is not given for it."""
    host = await cell.async_add_host()
    await cell.async_add_service("v1")
    await _async_reserve(host, "lagoa")
    other = await _async_reserve(host, "duna")
    assert other.code == 422
    assert other.headers["X-Outcome"] == "not_run"
    assert other.headers["X-Result-Code"] == "2006"
    assert len(cell.truth("effect")) == 1


async def test_a_host_that_takes_no_work_can_not_say_not_run_for_a_key(cell: Cell) -> None:
    """The first call with the key may have run; without a look at its claim nobody knows."""
    host = await cell.async_add_host()
    await cell.async_add_service("v1")
    await _async_reserve(host)
    host.control.lease = False
    assert (await _async_reserve(host)).headers["X-Outcome"] == "unknown"
    unkeyed = await host.async_request(RESERVE, {"name": "x"})
    assert unkeyed.headers["X-Outcome"] == "not_run"


async def test_an_outcome_that_can_not_be_stored_is_still_told(cell: Cell) -> None:
    """The answer is true; a resend learns no more than that it is unknown."""
    host = await cell.async_add_host()
    await cell.async_add_service("v1")
    cell.table.refuse_stores = True
    assert (await _async_reserve(host)).headers["X-Outcome"] == "done"
    assert (await _async_reserve(host)).headers["X-Outcome"] == "unknown"
    assert len(cell.truth("effect")) == 1


async def test_a_call_that_nobody_announced_is_not_repeated(cell: Cell) -> None:
    """Whether it may be repeated is not known, so it is not."""
    host = await cell.async_add_host()
    await cell.async_add_service("v1", plan=FaultPlan(fault=Fault.RESET))
    await cell.async_add_service("v2", plan=FaultPlan(fault=Fault.RESET))
    answer = await host.async_request("/services/names/other", {"name": "x"})
    assert answer.headers["X-Outcome"] == "unknown"
    assert len(cell.truth("effect")) == 1


async def test_the_services_own_refusal_is_passed_on(cell: Cell) -> None:
    """Status and headers of the service reach the caller."""
    host = await cell.async_add_host()
    await cell.async_add_service("v1")
    answer = await host.async_request(RESERVE + "?a=1", {"name": "x"}, headers={"X-Custom": "1"})
    assert answer.code == 200
    assert answer.headers["Content-Type"] == "application/json"
    assert json.loads(answer.body)["path"] == "/reserve"


async def test_a_late_answer_is_stored_after_the_caller_was_told_unknown(cell: Cell) -> None:
    """The dispatch is waited for past the deadline, so that a resend learns its outcome."""
    host = await cell.async_add_host()
    fake = await cell.async_add_service("v1", plan=FaultPlan(fault=Fault.FREEZE, count=1))
    late = await _async_reserve(host, **{"X-Deadline-Ms": "200"})
    assert late.code == 504
    assert late.headers["X-Outcome"] == "unknown"
    fake.engine.order(FaultPlan())
    await async_until(lambda: cell.table.answer_by_key)
    again = await _async_reserve(host)
    assert again.headers["X-Outcome"] == "done"
    assert again.headers["X-Result-Code"] == "1001"
    assert len(cell.truth("effect")) == 1
