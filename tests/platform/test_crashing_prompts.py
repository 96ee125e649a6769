"""Prompts with one part that crashes each engine that begins to answer them."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from crashing_traffic import (
    MAX_LATE_ARRIVALS,
    STABLE_WINDOW_S,
    CrashingTraffic,
    PartPosition,
)
from gateway_fleet import async_run_fleet

PART = "bad0"
SEVERAL_PARTS = frozenset(f"bad{number}" for number in range(5))
SEED = 25
# Time for which crashing requests go on after the stable window.
LATE_PHASE_S = 2.0
# Longer than the stable window, the suspicion of an endpoint and the life of a load summary.
PAUSE_S = 6.0
MIN_SOUND_ANSWERS = 20
# Time that the only gateway that saw the crashes runs on after the last one.
WITNESS_LIFE_S = 1.0


@pytest.mark.parametrize(
    ("position", "events_before_crash"),
    [
        (PartPosition.FIRST, 0),
        (PartPosition.MIDDLE, 1),
        (PartPosition.LAST_BUT_ONE, 0),
        (PartPosition.BETWEEN_SAME_PARTS, 1),
    ],
)
async def test_new_requests_with_crashing_part_reach_few_engines(
    tmp_path: Path, position: PartPosition, events_before_crash: int
) -> None:
    """Five crashes end the requests with a part, although no two of them are alike."""
    parts = frozenset({PART})
    async with async_run_fleet(
        tmp_path / "log", SEED, parts, events_before_crash=events_before_crash
    ) as fleet:
        traffic = CrashingTraffic(fleet, position)
        traffic.start_sound()
        traffic.start_crashing()
        await traffic.async_wait_for_crashes()
        await asyncio.sleep(STABLE_WINDOW_S + LATE_PHASE_S)
        assert len(traffic.late_arrivals(PART)) <= MAX_LATE_ARRIVALS


async def test_each_of_several_crashing_parts_reaches_few_engines(tmp_path: Path) -> None:
    """Each part that crashes engines is known, though requests with all of them meet there."""
    async with async_run_fleet(tmp_path / "log", SEED, SEVERAL_PARTS) as fleet:
        traffic = CrashingTraffic(fleet, PartPosition.MIDDLE, crash_interval_s=0.04)
        traffic.start_sound()
        traffic.start_crashing()
        await traffic.async_wait_for_crashes()
        await asyncio.sleep(STABLE_WINDOW_S + LATE_PHASE_S)
        late_by_part = {part: len(traffic.late_arrivals(part)) for part in SEVERAL_PARTS}
        assert all(count <= MAX_LATE_ARRIVALS for count in late_by_part.values()), late_by_part


async def test_crashing_part_gets_no_fresh_allowance_after_a_pause(tmp_path: Path) -> None:
    """A part that comes back after some seconds is still known."""
    async with async_run_fleet(tmp_path / "log", SEED, frozenset({PART})) as fleet:
        traffic = CrashingTraffic(fleet, PartPosition.MIDDLE)
        traffic.start_sound()
        traffic.start_crashing()
        await traffic.async_wait_for_crashes()
        traffic.is_crashing = False
        await asyncio.sleep(PAUSE_S)
        traffic.start_crashing()
        await asyncio.sleep(LATE_PHASE_S)
        assert len(traffic.late_arrivals(PART)) <= MAX_LATE_ARRIVALS


async def test_rare_requests_with_crashing_part_reach_few_engines(tmp_path: Path) -> None:
    """Crashes that are further apart than a load summary lives count together."""
    async with async_run_fleet(tmp_path / "log", SEED, frozenset({PART})) as fleet:
        traffic = CrashingTraffic(fleet, PartPosition.LAST_BUT_ONE, crash_interval_s=1.6)
        traffic.start_sound()
        traffic.start_crashing()
        await traffic.async_wait_for_crashes()
        traffic.crash_interval_s = 0.4
        await asyncio.sleep(STABLE_WINDOW_S + LATE_PHASE_S)
        assert len(traffic.late_arrivals(PART)) <= MAX_LATE_ARRIVALS


async def test_new_gateway_knows_crashing_part_after_its_witness_stopped(tmp_path: Path) -> None:
    """The crashes seen by a gateway count at others, also at new ones, when it is gone."""
    async with async_run_fleet(tmp_path / "log", SEED, frozenset({PART})) as fleet:
        witness = fleet.nodes[0]
        traffic = CrashingTraffic(fleet, PartPosition.FIRST, via=(witness,))
        traffic.start_crashing()
        await traffic.async_wait_for_crashes()
        traffic.is_crashing = False
        await asyncio.sleep(WITNESS_LIFE_S)
        await fleet.async_remove_node(witness)
        traffic.via = (await fleet.async_add_node(), *fleet.nodes)
        await asyncio.sleep(STABLE_WINDOW_S)
        traffic.start_crashing()
        await asyncio.sleep(LATE_PHASE_S)
        assert len(traffic.late_arrivals(PART)) <= MAX_LATE_ARRIVALS


async def test_reconnected_gateway_knows_crashing_part(tmp_path: Path) -> None:
    """A gateway that was cut off from the registry learns of the crashes once it is back."""
    async with async_run_fleet(tmp_path / "log", SEED, frozenset({PART})) as fleet:
        cut_off = fleet.nodes[0]
        await cut_off.async_cut_off()
        traffic = CrashingTraffic(fleet, PartPosition.MIDDLE, via=fleet.nodes[1:])
        traffic.start_crashing()
        await traffic.async_wait_for_crashes()
        traffic.is_crashing = False
        await asyncio.sleep(STABLE_WINDOW_S)
        await cut_off.async_reconnect()
        await asyncio.sleep(STABLE_WINDOW_S)
        traffic.via = (cut_off,)
        traffic.start_crashing()
        await asyncio.sleep(LATE_PHASE_S)
        assert len(traffic.late_arrivals(PART)) <= MAX_LATE_ARRIVALS


@pytest.mark.parametrize("position", [PartPosition.FIRST, PartPosition.BETWEEN_SAME_PARTS])
async def test_sound_requests_are_served_beside_crashing_part(
    tmp_path: Path, position: PartPosition
) -> None:
    """Requests with the same key and the other parts are served while crashing ones still come."""
    async with async_run_fleet(tmp_path / "log", SEED, frozenset({PART})) as fleet:
        traffic = CrashingTraffic(fleet, position)
        traffic.start_sound()
        traffic.start_crashing()
        await traffic.async_wait_for_crashes()
        await asyncio.sleep(2 * STABLE_WINDOW_S + LATE_PHASE_S)
        await traffic.async_stop()
        answers = [
            answer for answer in traffic.sound_answers if answer.sent_at >= traffic.settled_at()
        ]
        assert len(answers) >= MIN_SOUND_ANSWERS
        assert [answer for answer in answers if not answer.is_whole] == []
