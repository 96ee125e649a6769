"""Late, mismatched, duplicated, truncated and stalled responses of whole-model endpoints."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from entry_client import chat, chat_prompt, request_bytes
from entry_cluster import Cluster, async_wait_until
from entry_const import ADDRESS, HANG_TIMEOUT_S
from tornado.tcpclient import TCPClient

from lagoonwing_entry import AdapterSettings
from lagoonwing_fakes import FakeKind, Fault, FaultPlan, expected_text

PROMPT = "patch plan [tokens=12]"
EXPECTED = expected_text(chat_prompt(PROMPT))


def _content(response: Any) -> str:
    """Return the text of a chat response."""
    return json.loads(response.body)["choices"][0]["message"]["content"]


async def _async_add_two_endpoints(cluster: Cluster, plan: FaultPlan) -> None:
    """Start a faulty endpoint, which is chosen first, and a healthy one."""
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1", plan, tokens_per_s=1600.0)
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w2")


@pytest.mark.parametrize("fault", [Fault.MISMATCHED_ID, Fault.TRUNCATED, Fault.RESET, Fault.REFUSE])
@pytest.mark.parametrize("after", [0, 5])
async def test_failed_completion_is_resumed_on_another_endpoint(
    cluster: Cluster, fault: Fault, after: int
) -> None:
    """The caller receives each token of its own completion once, streamed or not."""
    host = await cluster.async_add_host()
    await _async_add_two_endpoints(cluster, FaultPlan(fault=fault, after_tokens=after))
    chat_response = await host.async_chat(PROMPT)
    assert chat_response.headers["X-Outcome"] == "done"
    assert _content(chat_response) == EXPECTED
    streamed = await host.async_stream(PROMPT)
    assert streamed.text == EXPECTED
    assert streamed.done and streamed.complete


async def test_resumed_stream_continues_after_the_last_relayed_token(cluster: Cluster) -> None:
    """The second endpoint resumes after the last relayed token.

    Tornado discards pending data when a connection closes, so the last tokens before that may not
    have been relayed. The second endpoint generates them again; the caller receives them once.
    """
    host = await cluster.async_add_host()
    await _async_add_two_endpoints(cluster, FaultPlan(fault=Fault.TRUNCATED, after_tokens=5))
    streamed = await host.async_stream(PROMPT)
    assert streamed.text == EXPECTED
    first = [line["token"] for line in cluster.endpoint_log("token") if line["endpoint"] == "w1"]
    second = [line["token"] for line in cluster.endpoint_log("token") if line["endpoint"] == "w2"]
    assert first == list(range(5))
    assert second == list(range(second[0], 12))
    assert 1 <= second[0] <= 5


async def test_duplicate_tokens_and_responses_are_discarded(cluster: Cluster) -> None:
    """Duplicate tokens are discarded, and a second response is not used for the next request."""
    host = await cluster.async_add_host()
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1", FaultPlan(fault=Fault.DUPLICATED))
    for number in range(6):
        prompt = f"prompt {number}"
        expected = expected_text(chat_prompt(prompt))
        assert _content(await host.async_chat(prompt)) == expected
        assert (await host.async_stream(prompt)).text == expected


async def test_failed_stream_ends_with_an_error_and_incomplete_framing(cluster: Cluster) -> None:
    """If no endpoint can resume, the stream ends with an error event and incomplete framing."""
    host = await cluster.async_add_host(default_deadline_s=5.0)
    plan = FaultPlan(fault=Fault.TRUNCATED, after_tokens=5)
    await _async_add_two_endpoints(cluster, plan)
    cluster.fakes["w2"].engine.set_fault_plan(FaultPlan(fault=Fault.NO_RESUME))
    streamed = await host.async_stream(PROMPT)
    assert EXPECTED.startswith(streamed.text)
    assert not streamed.done
    assert not streamed.complete
    assert streamed.last["error"]["outcome"] == "unknown"
    assert streamed.last["error"]["code"] in (5001, 5002)


async def test_truncated_response_gives_unknown_outcome(cluster: Cluster) -> None:
    """If the only endpoint truncates every response, the outcome is `unknown`."""
    host = await cluster.async_add_host(default_deadline_s=1.0)
    plan = FaultPlan(fault=Fault.TRUNCATED, after_tokens=3)
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1", plan)
    response = await host.async_chat(PROMPT)
    assert response.code >= 500
    assert response.headers["X-Outcome"] == "unknown"


async def test_stalled_endpoint_is_abandoned_after_the_idle_timeout(cluster: Cluster) -> None:
    """An endpoint that stalls between tokens is abandoned after the idle timeout."""
    host = await cluster.async_add_host(adapter=AdapterSettings(idle_timeout_s=0.2))
    await _async_add_two_endpoints(cluster, FaultPlan(fault=Fault.FREEZE, after_tokens=4))
    streamed = await host.async_stream(PROMPT)
    assert streamed.text == EXPECTED
    assert streamed.done


async def test_response_after_the_deadline_is_discarded(cluster: Cluster) -> None:
    """A response after the deadline is discarded; the next caller receives its own response."""
    host = await cluster.async_add_host()
    fake = await cluster.async_add_fake(
        FakeKind.WHOLE_MODEL, "w1", FaultPlan(fault=Fault.LATE, count=1, delay_s=0.4)
    )
    late = await host.async_chat(PROMPT, headers={"X-Deadline-Ms": "100"})
    assert late.code == 504
    assert late.headers["X-Outcome"] == "unknown"
    assert late.headers["X-Result-Code"] == "5002"
    await fake.engine.idle.wait()
    assert _content(await host.async_chat("other")) == expected_text(chat_prompt("other"))


async def test_refused_connection_is_not_run(cluster: Cluster) -> None:
    """A refused connection proves that nothing ran, so the outcome is `not_run`."""
    host = await cluster.async_add_host(default_deadline_s=5.0)
    fake = await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    await fake.async_unload()
    response = await host.async_chat(PROMPT)
    assert response.headers["X-Outcome"] == "not_run"
    assert not cluster.endpoint_log()


async def test_refusal_by_the_endpoint_is_not_run(cluster: Cluster) -> None:
    """A refusal before the start, with the `not_run` header, proves that nothing ran."""
    host = await cluster.async_add_host(default_deadline_s=5.0)
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1", FaultPlan(fault=Fault.REFUSE))
    response = await host.async_chat(PROMPT)
    assert response.headers["X-Outcome"] == "not_run"
    assert not cluster.endpoint_log()


async def test_restarted_endpoint_gets_new_connections(cluster: Cluster) -> None:
    """After a restart, requests use new connections to the new incarnation."""
    host = await cluster.async_add_host()
    old = await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    assert _content(await host.async_chat(PROMPT)) == EXPECTED
    await old.async_unload()
    await asyncio.sleep(0.002)
    new = await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    assert new.incarnation > old.incarnation
    assert _content(await host.async_chat("after")) == expected_text(chat_prompt("after"))


@pytest.mark.parametrize("streamed", [False, True])
async def test_caller_disconnect_cancels_the_endpoint(cluster: Cluster, streamed: bool) -> None:
    """A disconnect cancels the work on the endpoint, before and after the first token."""
    host = await cluster.async_add_host()
    fake = await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1", tokens_per_s=160.0)
    body = json.dumps(chat("long [tokens=400]", stream=streamed)).encode()
    stream = await TCPClient().connect(ADDRESS, host.caller_port)
    await stream.write(request_bytes("/v1/chat/completions", body))
    if streamed:
        await stream.read_until(b"data: ")
    await async_wait_until(lambda: fake.engine.running)
    stream.close()
    await asyncio.wait_for(host.entry.runner.async_wait_idle(), HANG_TIMEOUT_S)
    await fake.engine.idle.wait()
    assert cluster.endpoint_log("cancelled")
    assert not cluster.endpoint_log("end")


async def test_caller_that_stops_reading_is_disconnected(cluster: Cluster) -> None:
    """A caller that stops reading is disconnected, so that work and buffers stay bounded."""
    host = await cluster.async_add_host(write_timeout_s=0.3)
    fake = await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1", log_tokens=False)
    body = json.dumps(chat("long [tokens=1000000]", stream=True)).encode()
    stream = await TCPClient().connect(ADDRESS, host.caller_port)
    await stream.write(request_bytes("/v1/chat/completions", body))
    await async_wait_until(lambda: host.entry.runner.active_count)
    await asyncio.wait_for(host.entry.runner.async_wait_idle(), 20)
    await fake.engine.idle.wait()
    assert cluster.endpoint_log("cancelled")
    stream.close()
