"""Service calls: non-idempotent calls are dispatched at most once and report a correct outcome."""

from __future__ import annotations

import asyncio
import json

import pytest
from entry_client import request_bytes
from entry_cluster import Cluster, Host, async_wait_until
from entry_const import ADDRESS
from tornado.httpclient import HTTPResponse
from tornado.tcpclient import TCPClient

from lagoonwing_fakes import FakeKind, Fault, FaultPlan

RESERVE = "/services/names/reserve"
CHECK = "/services/names/check"
KEY_HEADERS = {"Idempotency-Key": "k1"}
MAX_CALLS = 50


async def _async_reserve(host: Host, name: str = "lagoa", **headers: str) -> HTTPResponse:
    """Reserve a name with an idempotency key."""
    return await host.async_request(RESERVE, {"name": name}, headers={**KEY_HEADERS, **headers})


async def test_idempotent_call_is_retried(cluster: Cluster) -> None:
    """An idempotent call whose response was lost is dispatched to another endpoint."""
    host = await cluster.async_add_host()
    await cluster.async_add_service("v1", plan=FaultPlan(fault=Fault.RESET))
    await cluster.async_add_service("v2")
    # The router chooses the endpoint, so calls are repeated until the faulty one is chosen first.
    for number in range(MAX_CALLS):
        response = await host.async_request(CHECK, {"name": f"x{number}"})
        assert response.headers["X-Outcome"] == "done"
        if len(cluster.endpoint_log("effect")) > number + 1:
            break
    assert [line["endpoint"] for line in cluster.endpoint_log("effect")][-2:] == ["v1", "v2"]


# Guards against a call that runs twice at endpoints one of which, say of an older version, has not
# announced it as idempotent.
async def test_call_that_one_endpoint_does_not_announce_is_not_retried(cluster: Cluster) -> None:
    """A call is idempotent if every endpoint that may get it says so."""
    host = await cluster.async_add_host()
    await cluster.async_add_fake(
        FakeKind.SERVICE,
        "v1",
        service="names",
        calls=("POST:/reserve:once",),
        plan=FaultPlan(fault=Fault.RESET),
    )
    await cluster.async_add_service("v2")
    outcomes = []
    while "unknown" not in outcomes and len(outcomes) < MAX_CALLS:
        response = await host.async_request(CHECK, {"name": f"x{len(outcomes)}"})
        outcomes.append(response.headers["X-Outcome"])
    assert outcomes[-1] == "unknown"
    assert len(cluster.endpoint_log("effect")) == len(outcomes)


@pytest.mark.parametrize("fault", [Fault.RESET, Fault.TRUNCATED, Fault.MISMATCHED_ID])
@pytest.mark.parametrize("headers", [{}, KEY_HEADERS])
async def test_lost_response_is_unknown_and_not_dispatched_again(
    cluster: Cluster, fault: Fault, headers: dict[str, str]
) -> None:
    """With or without a key, there is one dispatch and the outcome is `unknown`, not `not_run`."""
    host = await cluster.async_add_host()
    await cluster.async_add_service("v1", plan=FaultPlan(fault=fault))
    await cluster.async_add_service("v2")
    response = await host.async_request(RESERVE, {"name": "x"}, headers=headers)
    assert response.headers["X-Outcome"] == "unknown"
    if headers:
        other = await cluster.async_add_host()
        await cluster.async_announce(cluster.fakes["v2"])
        again = await other.async_request(RESERVE, {"name": "x"}, headers=headers)
        assert again.headers["X-Outcome"] == "unknown"
    assert len(cluster.endpoint_log("effect")) == 1


async def test_call_that_was_not_sent_is_dispatched_elsewhere(cluster: Cluster) -> None:
    """A refused connection proves that the call did not run, so another endpoint may run it."""
    host = await cluster.async_add_host()
    stopped_endpoint = await cluster.async_add_service("v1")
    await cluster.async_add_service("v2")
    await stopped_endpoint.async_unload()
    response = await _async_reserve(host)
    assert response.headers["X-Outcome"] == "done"
    assert [line["endpoint"] for line in cluster.endpoint_log("effect")] == ["v2"]


async def test_refused_call_releases_its_claim(cluster: Cluster) -> None:
    """A call that provably did not run may be resent with the same key."""
    host = await cluster.async_add_host()
    fake = await cluster.async_add_service("v1", plan=FaultPlan(fault=Fault.REFUSE))
    refused = await _async_reserve(host, **{"X-Deadline-Ms": "500"})
    assert refused.headers["X-Outcome"] == "not_run"
    fake.engine.set_fault_plan(FaultPlan())
    response = await _async_reserve(host)
    assert response.headers["X-Outcome"] == "done"
    assert len(cluster.endpoint_log("effect")) == 1


async def test_lost_claim_reply_is_unknown_and_releases_the_claim(cluster: Cluster) -> None:
    """If the reply to a claim is lost, the call is not dispatched and the claim is released."""
    host = await cluster.async_add_host()
    await cluster.async_add_service("v1")
    cluster.shared_state.lose_claim_replies = True
    lost = await _async_reserve(host)
    assert lost.headers["X-Outcome"] == "unknown"
    assert lost.headers["X-Result-Code"] == "6011"
    assert not cluster.endpoint_log("effect")
    cluster.shared_state.lose_claim_replies = False
    await async_wait_until(lambda: not cluster.shared_state.claim_by_key)
    assert (await _async_reserve(host)).headers["X-Outcome"] == "done"
    assert len(cluster.endpoint_log("effect")) == 1


async def test_call_in_progress_elsewhere_is_unknown(cluster: Cluster) -> None:
    """A resend to another host is not dispatched while the first call runs."""
    first = await cluster.async_add_host()
    second = await cluster.async_add_host()
    fake = await cluster.async_add_service("v1", plan=FaultPlan(fault=Fault.FREEZE))
    running = asyncio.create_task(_async_reserve(first))
    await async_wait_until(lambda: cluster.endpoint_log("effect"))
    resent = await _async_reserve(second)
    assert resent.code == 409
    assert resent.headers["X-Outcome"] == "unknown"
    assert resent.headers["X-Result-Code"] == "5004"
    fake.engine.set_fault_plan(FaultPlan())
    assert (await running).headers["X-Outcome"] == "done"
    assert (await _async_reserve(second)).headers["X-Result-Code"] == "1001"
    assert len(cluster.endpoint_log("effect")) == 1


async def test_outcome_is_stored_after_the_caller_disconnects(cluster: Cluster) -> None:
    """The dispatch continues after the caller disconnects, and a resend receives the response."""
    host = await cluster.async_add_host()
    fake = await cluster.async_add_service("v1", plan=FaultPlan(fault=Fault.FREEZE, count=1))
    body = json.dumps({"name": "lagoa"}).encode()
    stream = await TCPClient().connect(ADDRESS, host.caller_port)
    await stream.write(request_bytes(RESERVE, body, "Idempotency-Key: k1"))
    await async_wait_until(lambda: cluster.endpoint_log("effect"))
    stream.close()
    await asyncio.sleep(0.05)
    fake.engine.set_fault_plan(FaultPlan())
    await host.entry.runner.async_wait_idle()
    await async_wait_until(lambda: cluster.shared_state.answer_by_key)
    again = await _async_reserve(host)
    assert again.headers["X-Result-Code"] == "1001"
    assert len(cluster.endpoint_log("effect")) == 1


async def test_key_reused_with_another_body_is_refused(cluster: Cluster) -> None:
    """The call with another body is not run and does not receive the first response."""
    host = await cluster.async_add_host()
    await cluster.async_add_service("v1")
    await _async_reserve(host, "lagoa")
    other = await _async_reserve(host, "duna")
    assert other.code == 422
    assert other.headers["X-Outcome"] == "not_run"
    assert other.headers["X-Result-Code"] == "2006"
    assert len(cluster.endpoint_log("effect")) == 1


async def test_host_without_lease_reports_unknown_for_calls_with_a_key(cluster: Cluster) -> None:
    """Without access to its claim, a host cannot know whether the first call with a key ran."""
    host = await cluster.async_add_host()
    await cluster.async_add_service("v1")
    await _async_reserve(host)
    host.control.lease_valid = False
    assert (await _async_reserve(host)).headers["X-Outcome"] == "unknown"
    unkeyed = await host.async_request(RESERVE, {"name": "x"})
    assert unkeyed.headers["X-Outcome"] == "not_run"


async def test_outcome_that_cannot_be_stored_is_still_returned(cluster: Cluster) -> None:
    """The caller receives the response; a resend receives `unknown`."""
    host = await cluster.async_add_host()
    await cluster.async_add_service("v1")
    cluster.shared_state.refuse_stores = True
    assert (await _async_reserve(host)).headers["X-Outcome"] == "done"
    assert (await _async_reserve(host)).headers["X-Outcome"] == "unknown"
    assert len(cluster.endpoint_log("effect")) == 1


async def test_unannounced_call_is_not_retried(cluster: Cluster) -> None:
    """A call that no endpoint announced may not be idempotent, so it is not retried."""
    host = await cluster.async_add_host()
    await cluster.async_add_service("v1", plan=FaultPlan(fault=Fault.RESET))
    await cluster.async_add_service("v2", plan=FaultPlan(fault=Fault.RESET))
    response = await host.async_request("/services/names/other", {"name": "x"})
    assert response.headers["X-Outcome"] == "unknown"
    assert len(cluster.endpoint_log("effect")) == 1


async def test_service_response_is_forwarded(cluster: Cluster) -> None:
    """Status, headers and path of a service call are forwarded."""
    host = await cluster.async_add_host()
    await cluster.async_add_service("v1")
    response = await host.async_request(RESERVE + "?a=1", {"name": "x"}, headers={"X-Custom": "1"})
    assert response.code == 200
    assert response.headers["Content-Type"] == "application/json"
    assert json.loads(response.body)["path"] == "/reserve"


async def test_late_outcome_is_stored_after_the_deadline(cluster: Cluster) -> None:
    """The host waits for the dispatch after the deadline, so that a resend receives its outcome."""
    host = await cluster.async_add_host()
    fake = await cluster.async_add_service("v1", plan=FaultPlan(fault=Fault.FREEZE, count=1))
    late = await _async_reserve(host, **{"X-Deadline-Ms": "200"})
    assert late.code == 504
    assert late.headers["X-Outcome"] == "unknown"
    fake.engine.set_fault_plan(FaultPlan())
    await async_wait_until(lambda: cluster.shared_state.answer_by_key)
    again = await _async_reserve(host)
    assert again.headers["X-Outcome"] == "done"
    assert again.headers["X-Result-Code"] == "1001"
    assert len(cluster.endpoint_log("effect")) == 1
