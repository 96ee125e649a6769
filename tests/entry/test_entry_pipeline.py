"""Stages that die, fall silent, cross or answer late in the middle of an answer."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import Any

import pytest
from entry_cell import Cell, Host, async_until, chat_prompt

from lagoonwing_entry import AdapterSettings
from lagoonwing_fakes import FakeKind, Fault, FaultPlan, expected_text

PROMPT = "seam sealing [tokens=8]"
EXPECTED = expected_text(chat_prompt(PROMPT))
COUNT = 12


async def _async_pipeline(cell: Cell, plan: FaultPlan, **options: Any) -> Host:
    """Start a pipeline whose middle stage misbehaves, with a spare for it."""
    host = await cell.async_add_host(adapter=AdapterSettings(step_timeout_s=0.5))
    stages = (("s1", 0, 4, None), ("s2a", 4, 8, plan), ("s2b", 4, 8, None), ("s3", 8, 12, None))
    for name, first, end, stage_plan in stages:
        await cell.async_add_fake(
            FakeKind.STAGE,
            name,
            stage_plan,
            first=first,
            end=end,
            layer_count=COUNT,
            **options,
        )
    return host


def _check_each_layer_once(cell: Cell, lost_runs: int) -> None:
    """Check that stages which were not replaced ran each token once, in order."""
    runs = Counter((line["token"], line["first"], line["end"]) for line in cell.truth("token"))
    doubled = {run: count for run, count in runs.items() if count != 1}
    assert len(doubled) <= lost_runs, doubled
    assert all(first == 4 for _, first, _ in doubled)
    assert set(runs) == {(t, first, first + 4) for t in range(8) for first in (0, 4, 8)}


@pytest.mark.parametrize("streamed", [False, True])
@pytest.mark.parametrize("fault", [Fault.RESET, Fault.REFUSE, Fault.CROSSED, Fault.TRUNCATED])
async def test_a_stage_that_fails_is_replaced(cell: Cell, fault: Fault, streamed: bool) -> None:
    """Only that stage is replaced; no token is lost or doubled in the answer."""
    host = await _async_pipeline(cell, FaultPlan(fault=fault, after_tokens=4, count=1))
    if streamed:
        answer = await host.async_stream(PROMPT)
        assert answer.text == EXPECTED
        assert answer.done and answer.whole
    else:
        whole = await host.async_chat(PROMPT)
        assert json.loads(whole.body)["choices"][0]["message"]["content"] == EXPECTED
    # The failed stage may have run the token whose answer was lost.
    _check_each_layer_once(cell, lost_runs=1)
    replays = [(line["endpoint"], line["tokens"]) for line in cell.truth("replay")]
    assert replays == [("s2b", 4)]
    before = {line["attempt"] for line in cell.truth("token") if line["token"] < 4}
    after = {line["attempt"] for line in cell.truth("token") if line["token"] > 4}
    # Every stage hears the higher number, so none takes a step of the old one any more.
    assert max(before) < min(after)


async def test_a_replaced_stage_that_answers_later_is_ignored(cell: Cell) -> None:
    """A stage that stood still goes on after it was replaced; nobody hears it."""
    host = await _async_pipeline(cell, FaultPlan(fault=Fault.FREEZE, after_tokens=3, count=1))
    running = asyncio.create_task(host.async_stream(PROMPT))
    await async_until(lambda: cell.truth("replay"))
    cell.fakes["s2a"].engine.order(FaultPlan())
    answer = await running
    assert answer.text == EXPECTED
    assert answer.done
    _check_each_layer_once(cell, lost_runs=1)


async def test_the_cache_is_moved_where_both_sides_can(cell: Cell) -> None:
    """A stage that lives but errs gives its KV cache away instead of a replay."""
    plan = FaultPlan(fault=Fault.REFUSE, after_tokens=4, count=1)
    host = await _async_pipeline(cell, plan, exports_kv=True)
    answer = await host.async_stream(PROMPT)
    assert answer.text == EXPECTED
    assert [line["endpoint"] for line in cell.truth("import")] == ["s2b"]
    assert not cell.truth("replay")
    _check_each_layer_once(cell, lost_runs=0)


async def test_a_death_is_recorded_before_another_stage_runs_the_request(cell: Cell) -> None:
    """A request that kills its stage is a suspect everywhere before it goes on."""
    host = await _async_pipeline(cell, FaultPlan(fault=Fault.RESET, after_tokens=4, count=1))
    await host.async_stream(PROMPT)
    assert len(cell.table.suspects) == 1


async def test_a_second_death_ends_the_request(cell: Cell) -> None:
    """One request never takes a third stage with it."""
    host = await _async_pipeline(cell, FaultPlan(fault=Fault.RESET, after_tokens=4))
    cell.fakes["s2b"].engine.order(FaultPlan(fault=Fault.RESET, after_tokens=4))
    await cell.async_add_fake(FakeKind.STAGE, "s2c", first=4, end=8, layer_count=COUNT)
    answer = await host.async_stream(PROMPT)
    assert not answer.done
    assert EXPECTED.startswith(answer.text)
    assert answer.last["error"]["outcome"] == "unknown"
    assert sum(line["endpoint"] == "s2c" for line in cell.truth()) <= 1


async def test_another_cut_of_the_layers_takes_over(cell: Cell) -> None:
    """Without a spare a new attempt replays what the caller has on another route."""
    host = await cell.async_add_host()
    plan = FaultPlan(fault=Fault.REFUSE, after_tokens=3)
    await cell.async_add_fake(FakeKind.STAGE, "s2", plan, first=6, end=12, layer_count=COUNT)
    await cell.async_add_pipeline(("s1", 0, 6), ("t1", 0, 4), ("t2", 4, 12))
    answer = await host.async_stream(PROMPT)
    assert answer.text == EXPECTED
    assert answer.done and answer.whole
    replays = {(line["endpoint"], line["tokens"]) for line in cell.truth("replay")}
    assert replays == {("t1", 3), ("t2", 3)}


async def test_the_token_limit_ends_the_answer(cell: Cell) -> None:
    """The entry stops at the caller's limit and closes the stages' caches."""
    host = await cell.async_add_host()
    await cell.async_add_pipeline(("s1", 0, 6), ("s2", 6, 12))
    whole = await host.async_chat(PROMPT, max_tokens=3)
    choice = json.loads(whole.body)["choices"][0]
    assert choice["message"]["content"] == expected_text(chat_prompt(PROMPT), 3)
    await async_until(lambda: not any(fake.cache_by_request for fake in cell.fakes.values()))
