"""Stages that crash, stall, or send mismatched or late responses during a completion."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import Any

import pytest
from entry_client import chat_prompt
from entry_cluster import Cluster, Host, async_wait_until

from lagoonwing_entry import AdapterSettings
from lagoonwing_fakes import FakeKind, Fault, FaultPlan, expected_text

PROMPT = "seam sealing [tokens=8]"
EXPECTED = expected_text(chat_prompt(PROMPT))
LAYER_COUNT = 12


async def _async_start_pipeline(cluster: Cluster, plan: FaultPlan, **options: Any) -> Host:
    """Start a pipeline with a faulty middle stage and a spare for it."""
    host = await cluster.async_add_host(adapter=AdapterSettings(step_timeout_s=0.5))
    stages = (("s1", 0, 4, None), ("s2a", 4, 8, plan), ("s2b", 4, 8, None), ("s3", 8, 12, None))
    for name, first, end, stage_plan in stages:
        await cluster.async_add_fake(
            FakeKind.STAGE,
            name,
            stage_plan,
            first=first,
            end=end,
            layer_count=LAYER_COUNT,
            **options,
        )
    return host


def _assert_each_layer_ran_once(cluster: Cluster, max_repeated_runs: int) -> None:
    """Check that every layer ran once per token, except for runs of the replaced stage."""
    runs = Counter(
        (line["token"], line["first"], line["end"]) for line in cluster.endpoint_log("token")
    )
    repeated = {run: count for run, count in runs.items() if count != 1}
    assert len(repeated) <= max_repeated_runs, repeated
    assert all(first == 4 for _, first, _ in repeated)
    assert set(runs) == {(t, first, first + 4) for t in range(8) for first in (0, 4, 8)}


@pytest.mark.parametrize("streamed", [False, True])
@pytest.mark.parametrize("fault", [Fault.RESET, Fault.REFUSE, Fault.MISMATCHED_ID, Fault.TRUNCATED])
async def test_failed_stage_is_replaced(cluster: Cluster, fault: Fault, streamed: bool) -> None:
    """Only the failed stage is replaced; no token of the response is lost or duplicated."""
    host = await _async_start_pipeline(cluster, FaultPlan(fault=fault, after_tokens=4, count=1))
    if streamed:
        response = await host.async_stream(PROMPT)
        assert response.text == EXPECTED
        assert response.done and response.complete
    else:
        chat_response = await host.async_chat(PROMPT)
        assert json.loads(chat_response.body)["choices"][0]["message"]["content"] == EXPECTED
    # The failed stage may have run the token whose response was lost.
    _assert_each_layer_ran_once(cluster, max_repeated_runs=1)
    replays = [(line["endpoint"], line["tokens"]) for line in cluster.endpoint_log("replay")]
    assert replays == [("s2b", 4)]
    before = {line["attempt"] for line in cluster.endpoint_log("token") if line["token"] < 4}
    after = {line["attempt"] for line in cluster.endpoint_log("token") if line["token"] > 4}
    # Every stage receives the higher attempt number, so none accepts steps of the old attempt.
    assert max(before) < min(after)


async def test_late_response_of_a_replaced_stage_is_ignored(cluster: Cluster) -> None:
    """A stalled stage that resumes after it was replaced is ignored."""
    host = await _async_start_pipeline(
        cluster, FaultPlan(fault=Fault.FREEZE, after_tokens=3, count=1)
    )
    running = asyncio.create_task(host.async_stream(PROMPT))
    await async_wait_until(lambda: cluster.endpoint_log("replay"))
    cluster.fakes["s2a"].engine.set_fault_plan(FaultPlan())
    response = await running
    assert response.text == EXPECTED
    assert response.done
    _assert_each_layer_ran_once(cluster, max_repeated_runs=1)


async def test_kv_cache_is_imported_if_both_stages_support_it(cluster: Cluster) -> None:
    """The KV cache of a failed but running stage is exported instead of replayed."""
    plan = FaultPlan(fault=Fault.REFUSE, after_tokens=4, count=1)
    host = await _async_start_pipeline(cluster, plan, exports_kv=True)
    response = await host.async_stream(PROMPT)
    assert response.text == EXPECTED
    assert [line["endpoint"] for line in cluster.endpoint_log("import")] == ["s2b"]
    assert not cluster.endpoint_log("replay")
    _assert_each_layer_ran_once(cluster, max_repeated_runs=0)


async def test_crash_is_recorded_before_another_stage_runs_the_request(cluster: Cluster) -> None:
    """A request that crashes a stage is recorded as a suspect before it continues."""
    host = await _async_start_pipeline(
        cluster, FaultPlan(fault=Fault.RESET, after_tokens=4, count=1)
    )
    await host.async_stream(PROMPT)
    assert len(cluster.shared_state.suspects) == 1


async def test_second_crash_ends_the_request(cluster: Cluster) -> None:
    """A request does not crash a third stage."""
    host = await _async_start_pipeline(cluster, FaultPlan(fault=Fault.RESET, after_tokens=4))
    cluster.fakes["s2b"].engine.set_fault_plan(FaultPlan(fault=Fault.RESET, after_tokens=4))
    await cluster.async_add_fake(FakeKind.STAGE, "s2c", first=4, end=8, layer_count=LAYER_COUNT)
    response = await host.async_stream(PROMPT)
    assert not response.done
    assert EXPECTED.startswith(response.text)
    assert response.last["error"]["outcome"] == "unknown"
    assert sum(line["endpoint"] == "s2c" for line in cluster.endpoint_log()) <= 1


async def test_route_with_other_layer_ranges_takes_over(cluster: Cluster) -> None:
    """Without a spare stage, a new attempt on another route replays the relayed tokens."""
    host = await cluster.async_add_host()
    plan = FaultPlan(fault=Fault.REFUSE, after_tokens=3)
    await cluster.async_add_fake(
        FakeKind.STAGE, "s2", plan, first=6, end=12, layer_count=LAYER_COUNT
    )
    await cluster.async_add_pipeline(("s1", 0, 6), ("t1", 0, 4), ("t2", 4, 12))
    response = await host.async_stream(PROMPT)
    assert response.text == EXPECTED
    assert response.done and response.complete
    replays = {(line["endpoint"], line["tokens"]) for line in cluster.endpoint_log("replay")}
    assert replays == {("t1", 3), ("t2", 3)}


async def test_token_limit_ends_the_response(cluster: Cluster) -> None:
    """Generation stops at the caller's token limit, and the stages' KV caches are released."""
    host = await cluster.async_add_host()
    await cluster.async_add_pipeline(("s1", 0, 6), ("s2", 6, 12))
    chat_response = await host.async_chat(PROMPT, max_tokens=3)
    choice = json.loads(chat_response.body)["choices"][0]
    assert choice["message"]["content"] == expected_text(chat_prompt(PROMPT), 3)
    await async_wait_until(
        lambda: not any(fake.cache_by_request for fake in cluster.fakes.values())
    )
