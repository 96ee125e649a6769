"""Callers of a gateway that reaches no endpoint are served as those of any other."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from cut_gateways import CutPlay, async_run_play
from cut_links import CutMode

NETWORK = 130
# Time after which the rule for such gateways holds, and the time that is measured.
STABLE_S = 3.0
MEASURED_S = 3.0
# Gateways that are cut off serve as often as the others, but for what a busy machine loses.
MIN_RELATIVE_SHARE = 0.95
# Silence that a sound endpoint may have, and the time around it.
SILENCE_S = 2.0
RECOVERY_S = 1.0
# Requests that came in the first part of the silence were sent to an endpoint.
EXAMINED_S = 0.3


async def _async_measure(play: CutPlay, mode: CutMode, count: int, *kinds: str) -> None:
    """Cut gateways off, and compare the share of first tries that each side serves."""
    cut_off, others = play.processes.gateways[:count], play.processes.gateways[count:]
    begun_at = asyncio.get_running_loop().time()
    for gateway in cut_off:
        play.cut(gateway, mode)
    await play.async_call_all(STABLE_S + MEASURED_S, *kinds)
    for kind in kinds:
        at_others = play.share_served(others, begun_at, kind)
        assert at_others >= MIN_RELATIVE_SHARE, f"{kind}: the others served {at_others:.2f}"
        at_cut = play.share_served(cut_off, begun_at + STABLE_S, kind)
        assert at_cut >= MIN_RELATIVE_SHARE * at_others, f"{kind}: {at_cut:.2f}, {at_others:.2f}"
    assert max(play.runs()[item.attempt_id] for item in play.sent if item.kind == "unsafe") <= 1


@pytest.mark.parametrize("mode", CutMode)
async def test_callers_of_gateways_without_endpoints_are_served(
    tmp_path: Path, mode: CutMode
) -> None:
    """Two of four gateways lose all endpoints; unsafe requests run once at most."""
    async with async_run_play(tmp_path, NETWORK) as play:
        await play.async_call_all(1.0, "safe", "unsafe", "stream")
        await _async_measure(play, mode, 2, "safe", "unsafe", "stream")


async def test_silence_of_all_endpoints_for_a_moment_ends_no_answer(tmp_path: Path) -> None:
    """What may still be answered is not given up for a gateway that is no better off."""
    async with async_run_play(tmp_path, NETWORK) as play:
        await play.async_call_all(1.0, "safe", "unsafe", "stream")
        play.sent.clear()
        calls = asyncio.ensure_future(
            play.async_call_all(SILENCE_S + RECOVERY_S, "safe", "unsafe", "stream")
        )
        await asyncio.sleep(RECOVERY_S / 2)
        for gateway in play.processes.gateways:
            play.cut(gateway, CutMode.HANG)
        silent_since = asyncio.get_running_loop().time()
        await asyncio.sleep(SILENCE_S)
        play.links.heal()
        await calls
        # Requests that came later may be refused: then no endpoint answered any gateway.
        running = [
            item
            for item in play.sent
            if item.sent_at < silent_since + EXAMINED_S and item.ended_at > silent_since
        ]
        assert len(running) >= 20
        assert [item for item in running if not item.is_whole] == []
