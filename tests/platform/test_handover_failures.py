"""Requests of a gateway that reaches no endpoint while those around it fail as well."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from cut_gateways import CutPlay, async_run_play
from cut_links import CutMode
from tornado.httpclient import AsyncHTTPClient

from lagoonwing_fakes.platform import SystemProcess
from lagoonwing_fakes.platform.const import PEER_PORT

NETWORK = 150
STABLE_S = 3.0
MEASURED_S = 3.0
MIN_SHARE = 0.95
# Unsafe requests that a peer had when it was stopped can't be sent again.
MAX_UNKNOWN = 3
KINDS = ("safe", "unsafe", "stream")


async def _async_call(play: CutPlay, gateway: SystemProcess, seconds: float) -> None:
    """Send requests of all kinds to one gateway."""
    others = [item for item in play.processes.gateways if item is not gateway]
    play.processes.gateways[:] = [gateway]
    try:
        await play.async_call_all(seconds, *KINDS)
    finally:
        play.processes.gateways[:] = [gateway, *others]


async def test_peers_that_are_stopped_or_frozen_lose_no_repeatable_request(
    tmp_path: Path,
) -> None:
    """One peer is frozen, one drains and ends: the third serves."""
    async with async_run_play(tmp_path, NETWORK) as play:
        cut_off, frozen, stopped, _ = play.processes.gateways
        play.cut(cut_off, CutMode.RESET)
        await _async_call(play, cut_off, STABLE_S)
        play.sent.clear()
        calls = asyncio.ensure_future(_async_call(play, cut_off, STABLE_S + MEASURED_S))
        await asyncio.sleep(0.5)
        frozen.signal(signal.SIGSTOP)
        stopped.signal(signal.SIGTERM)
        begun_at = asyncio.get_running_loop().time()
        await calls
        for kind in ("safe", "stream"):
            assert play.share_served([cut_off], begun_at, kind) >= MIN_SHARE
        lost = [item for item in play.sent if item.kind == "unsafe" and not item.is_whole]
        assert len(lost) <= MAX_UNKNOWN
        runs = play.runs()
        assert max(runs[item.attempt_id] for item in play.sent if item.kind == "unsafe") <= 1
        refused = [item for item in play.sent if item.kind == "unsafe" and item.code == 503]
        assert [item for item in refused if runs[item.attempt_id]] == []


async def test_stream_goes_on_when_its_peer_is_killed(tmp_path: Path) -> None:
    """The caller gets each event once and in order, from two peers."""
    async with async_run_play(tmp_path, NETWORK + 5) as play:
        play.event_pause_s = 0.15
        cut_off, killed, *_ = play.processes.gateways
        play.cut(cut_off, CutMode.RESET)
        for kind in KINDS:
            await play.async_call(cut_off, kind)
        play.sent.clear()
        await asyncio.sleep(1.0)
        streams = [asyncio.ensure_future(play.async_call(cut_off, "stream")) for _ in range(24)]
        await asyncio.sleep(0.4)
        killed.signal(signal.SIGKILL)
        await asyncio.gather(*streams)
        assert [item for item in play.sent if not item.is_whole] == []
        assert max(play.runs()[item.attempt_id] for item in play.sent) == 2


async def test_stream_that_runs_when_the_cut_begins_goes_on(tmp_path: Path) -> None:
    """The rest of it comes through a peer, under the first endpoint's head."""
    async with async_run_play(tmp_path, NETWORK + 6) as play:
        play.event_pause_s = 0.15
        cut_off = play.processes.gateways[0]
        streams = [asyncio.ensure_future(play.async_call(cut_off, "stream")) for _ in range(12)]
        await asyncio.sleep(0.4)
        play.cut(cut_off, CutMode.RESET)
        await asyncio.gather(*streams)
        assert [item for item in play.sent if not item.is_whole] == []


async def test_gateway_without_endpoints_and_registries_is_served_by_its_peers(
    tmp_path: Path,
) -> None:
    """The peers that were told last are still there when no registry answers."""
    async with async_run_play(tmp_path, NETWORK + 1) as play:
        cut_off = play.processes.gateways[0]
        await asyncio.sleep(1.0)
        for registry in play.processes.registries:
            registry.signal(signal.SIGSTOP)
        play.cut(cut_off, CutMode.HANG)
        begun_at = asyncio.get_running_loop().time()
        await _async_call(play, cut_off, STABLE_S + MEASURED_S)
        for kind in KINDS:
            assert play.share_served([cut_off], begun_at + STABLE_S, kind) >= MIN_SHARE


async def test_one_gateway_serves_for_all_that_are_cut_off(tmp_path: Path) -> None:
    """Three of four reach no endpoint; nothing passes round among them."""
    async with async_run_play(tmp_path, NETWORK + 2) as play:
        *cut_off, _ = play.processes.gateways
        for gateway in cut_off:
            play.cut(gateway, CutMode.RESET)
        begun_at = asyncio.get_running_loop().time()
        await play.async_call_all(STABLE_S + MEASURED_S, *KINDS)
        for kind in KINDS:
            assert play.share_served(cut_off, begun_at + STABLE_S, kind) >= MIN_SHARE
        assert max(play.runs().values()) <= 2


async def test_nobody_passes_a_request_round_while_no_endpoint_answers_anyone(
    tmp_path: Path,
) -> None:
    """All gateways are cut off: requests are refused at once, and truly."""
    async with async_run_play(tmp_path, NETWORK + 3) as play:
        for gateway in play.processes.gateways:
            play.cut(gateway, CutMode.RESET)
        await play.async_call_all(STABLE_S, *KINDS)
        begun_at = asyncio.get_running_loop().time()
        runs_before = sum(play.runs().values())
        await play.async_call_all(1.5, *KINDS)
        late = [item for item in play.sent if item.sent_at >= begun_at]
        assert {item.code for item in late} <= {502, 503}
        assert sum(play.runs().values()) == runs_before
        durations = sorted(item.ended_at - item.sent_at for item in late)
        assert durations[len(durations) // 2] < 0.5


async def test_request_without_the_shared_key_is_not_taken(tmp_path: Path) -> None:
    """The port for other gateways serves nobody else."""
    async with async_run_play(tmp_path, NETWORK + 4, gateways=1) as play:
        (gateway,) = play.processes.gateways
        before = sum(play.runs().values())
        for path in ("/handover", "/reach", "/safe/x"):
            response = await AsyncHTTPClient().fetch(
                f"http://{gateway.address}:{PEER_PORT}{path}",
                method="POST",
                body=json.dumps({}).encode(),
                raise_error=False,
            )
            assert response.code == 503
            assert "Lagoonwing-Handover-Declined" in response.headers
        assert sum(play.runs().values()) == before
