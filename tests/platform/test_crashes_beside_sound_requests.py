"""Sound requests beside engines that crash: they are resumed, and their parts stay allowed."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Any

import pytest
from crashing_traffic import STABLE_WINDOW_S
from gateway_fleet import Answer, GatewayFleet, async_run_fleet

from lagoonwing_fakes.platform import Endpoint, make_caller_headers

SEED = 26
HOT_PART = "4a07"
OTHER_PART = "4a08"
CRASHING_PART = "bad0"
OWN_PART = "4a09"
STREAMS = 24
# Long enough that every stream is under way at the moment of a crash.
SLOW_EVENT_INTERVAL_S = 0.1
ROLLING_INTERVAL_S = 0.3
ROLLING_CRASHES = 5
PLAIN_ENDPOINTS = 12
MAX_IDENTICAL_CRASHES = 3
REPEAT_INTERVAL_S = 0.6


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Run several gateways and engines without a crashing part."""
    async with async_run_fleet(tmp_path / "log", SEED) as running:
        yield running


def _make_prompts(fleet: GatewayFleet, count: int) -> list[list[str]]:
    """Return prompts with a hot first part; half of the others are shared and half are rare."""
    return [
        [
            HOT_PART,
            OTHER_PART if number % 2 else f"{fleet.rng.getrandbits(32):08x}",
            f"{fleet.rng.getrandbits(32):08x}",
        ]
        for number in range(count)
    ]


def _start_streams(fleet: GatewayFleet, prompts: Sequence[list[str]]) -> list[asyncio.Task[Answer]]:
    """Send one request for each prompt, to each gateway in turn."""
    return [
        asyncio.ensure_future(fleet.async_send(fleet.nodes[number % len(fleet.nodes)], prompt))
        for number, prompt in enumerate(prompts)
    ]


async def _async_unserved(tasks: Sequence[asyncio.Task[Answer]]) -> list[Answer]:
    """Wait for the answers; return those that are not whole."""
    return [answer for answer in await asyncio.gather(*tasks) if not answer.is_whole]


def _attempts(fleet: GatewayFleet, engine: Endpoint) -> set[str]:
    """Return the attempts that an engine answers."""
    return fleet.prompts.attempts_by_id.get(engine.endpoint_id, set())


def _busiest(fleet: GatewayFleet) -> Endpoint:
    """Return the engine that answers most streams."""
    return max(fleet.engines, key=lambda engine: len(_attempts(fleet, engine)))


def _running(fleet: GatewayFleet) -> int:
    """Return the number of streams that engines answer."""
    return sum(len(_attempts(fleet, engine)) for engine in fleet.engines)


def _settled(fleet: GatewayFleet, interrupted: set[str]) -> bool:
    """Return whether each interrupted stream runs again or has ended."""
    running = {attempt for engine in fleet.engines for attempt in _attempts(fleet, engine)}
    return interrupted <= running | fleet.prompts.answered


def _first_time_victims(fleet: GatewayFleet, interrupted: set[str]) -> list[Endpoint]:
    """Return the busy engines that answer no stream that a crash has interrupted before."""
    return [
        engine
        for engine in fleet.engines
        if _attempts(fleet, engine) and not _attempts(fleet, engine) & interrupted
    ]


async def _async_wait_for_victim(fleet: GatewayFleet, interrupted: set[str]) -> Endpoint:
    """Wait for an engine whose crash interrupts no stream a second time; return it."""
    await fleet.async_wait_until(
        lambda: _settled(fleet, interrupted) and bool(_first_time_victims(fleet, interrupted))
    )
    return fleet.rng.choice(_first_time_victims(fleet, interrupted))


async def test_streams_on_a_crashed_engine_are_resumed(fleet: GatewayFleet) -> None:
    """The streams of an engine that crashes are whole, and so are new ones with their parts."""
    fleet.prompts.event_interval_s = SLOW_EVENT_INTERVAL_S
    prompts = _make_prompts(fleet, STREAMS)
    streams = _start_streams(fleet, prompts)
    await fleet.async_wait_until(lambda: _running(fleet) == STREAMS)
    crashed = _busiest(fleet)
    assert _attempts(fleet, crashed)
    fleet.crash_engine(crashed)
    repeats = _start_streams(fleet, prompts)
    assert await _async_unserved([*streams, *repeats]) == []


async def test_streams_beside_a_crashing_request_are_resumed(tmp_path: Path) -> None:
    """The retry of a request that crashed an engine doesn't end the streams resumed beside it."""
    async with async_run_fleet(tmp_path / "log", SEED, frozenset({CRASHING_PART})) as fleet:
        fleet.prompts.event_interval_s = SLOW_EVENT_INTERVAL_S
        streams = _start_streams(fleet, _make_prompts(fleet, STREAMS))
        await fleet.async_wait_until(lambda: _running(fleet) == STREAMS)
        await fleet.async_send(fleet.nodes[0], [HOT_PART, CRASHING_PART, OWN_PART])
        assert await _async_unserved(streams) == []


async def test_streams_survive_the_loss_of_a_failure_domain(fleet: GatewayFleet) -> None:
    """The crash of all engines of a domain at once says nothing about the prompts they ran."""
    fleet.prompts.event_interval_s = SLOW_EVENT_INTERVAL_S
    prompts = _make_prompts(fleet, STREAMS)
    streams = _start_streams(fleet, prompts)
    await fleet.async_wait_until(lambda: _running(fleet) == STREAMS)
    lost_domain = fleet.domain_by_port[_busiest(fleet).port]
    for engine in list(fleet.engines):
        if fleet.domain_by_port[engine.port] == lost_domain:
            fleet.crash_engine(engine)
    repeats = _start_streams(fleet, prompts)
    assert await _async_unserved([*streams, *repeats]) == []
    await fleet.async_wait_for_engines(10)
    assert await _async_unserved(_start_streams(fleet, prompts)) == []


async def test_streams_survive_crashes_of_one_engine_after_another(fleet: GatewayFleet) -> None:
    """A part whose requests ran on each of five engines that were killed stays allowed."""
    prompts = _make_prompts(fleet, STREAMS)
    streams: list[asyncio.Task[Answer]] = []
    interrupted: set[str] = set()
    for _ in range(ROLLING_CRASHES):
        streams += _start_streams(fleet, prompts)
        victim = await _async_wait_for_victim(fleet, interrupted)
        interrupted |= _attempts(fleet, victim)
        fleet.crash_engine(victim)
        streams += _start_streams(fleet, prompts)
        await asyncio.sleep(ROLLING_INTERVAL_S)
    assert len(interrupted) >= ROLLING_CRASHES
    assert await _async_unserved(streams) == []
    assert await _async_unserved(_start_streams(fleet, prompts)) == []


async def test_identical_call_that_crashes_endpoints_is_quarantined_at_all_gateways(
    fleet: GatewayFleet,
) -> None:
    """After the third crash, every gateway refuses the call and serves others."""
    await _async_start_plain_endpoints(fleet)
    for number in range(MAX_IDENTICAL_CRASHES):
        assert await _async_call(fleet, number, b"deadly") == 502
        await asyncio.sleep(REPEAT_INTERVAL_S)
    await asyncio.sleep(STABLE_WINDOW_S - REPEAT_INTERVAL_S)
    codes = [await _async_call(fleet, number, b"deadly") for number in range(6)]
    assert codes == [503] * 6
    assert [await _async_call(fleet, number, b"sound") for number in range(6)] == [200] * 6


async def _async_start_plain_endpoints(fleet: GatewayFleet) -> None:
    """Start endpoints that crash under one body."""

    async def crash(handler: Any) -> None:
        if handler.request.body == b"deadly":
            handler.endpoint.crash()
            handler._finished = True

    for number in range(PLAIN_ENDPOINTS):
        endpoint = await fleet.deployment.async_add_endpoint(f"p-{number}", "plain")
        endpoint.handler_override = crash
        fleet.announce(endpoint, "d-1")
    last_id = f"p-{PLAIN_ENDPOINTS - 1}"
    await fleet.async_wait_until(
        lambda: all(last_id in node.gateway.follower.endpoint_by_id for node in fleet.nodes)
    )


async def _async_call(fleet: GatewayFleet, number: int, body: bytes) -> int:
    """Send a call to each gateway in turn; return the status."""
    node = fleet.nodes[number % len(fleet.nodes)]
    headers = make_caller_headers("unsafe", f"c-{body.decode()}-{number}", deadline_ms=3_000)
    response = await fleet.deployment.async_call(
        node.caller_port, "/unsafe/x", "POST", body, **headers
    )
    return response.code
