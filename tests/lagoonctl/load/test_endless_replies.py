"""Entry hosts whose replies have no end: the load run goes on and reports them."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest
from endless_server import Endless, EndlessAnswers

from lagoonctl.load import LoadPlan, MemberLoad, Target, async_run_load
from lagoonctl.load.const import CONNECT_TIMEOUT_S
from lagoonwing_core.ids import MemberId

TIMEOUT_S = 1.0
END_S = TIMEOUT_S + CONNECT_TIMEOUT_S + 3.0
# Of some 20 requests at a time.
MAX_HELD_BYTES = 64 * 1024 * 1024


def _plan(port: int, streamed: bool) -> LoadPlan:
    """Return a plan of some 20 requests."""
    member = MemberLoad(MemberId("a"), "key", 400.0)
    target = Target("127.0.0.1", port)
    return LoadPlan((target,), (member,), duration_s=0.05, timeout_s=TIMEOUT_S, streamed=streamed)


@pytest.mark.parametrize("streamed", [True, False])
@pytest.mark.parametrize("drips", [False, True])
@pytest.mark.parametrize("part", Endless)
async def test_reply_without_end_is_cut(
    endless_answers: EndlessAnswers, part: Endless, drips: bool, streamed: bool
) -> None:
    """Requests end in time with bounded memory, and the run reports them."""
    tracemalloc.start()
    try:
        async with asyncio.timeout(END_S):
            report = await async_run_load(_plan(endless_answers.port(part, drips), streamed))
        assert tracemalloc.get_traced_memory()[1] < MAX_HELD_BYTES
        assert report.results
    finally:
        tracemalloc.stop()
