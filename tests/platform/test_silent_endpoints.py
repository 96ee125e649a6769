"""Healthy endpoints that fall silent for about a second, which is no reason to end an answer."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import pytest
from platform_deployment import Deployment, async_run_deployment, async_start_engines
from silent_endpoints import SilentEndpoints, stop_endpoint
from tornado.httpclient import HTTPResponse

from lagoonwing_fakes.platform import WorkHandler, make_document
from lagoonwing_fakes.platform.const import EVENTS
from lagoonwing_gateway import RetryBudgetSettings

COMPLETE_STREAM = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
# About a second.
SILENCE_S = 1.2
# Time until a stream goes on elsewhere if its path is dark for good.
MAX_REPLACEMENT_S = 1.4
MAX_REFUSED_REPLACEMENT_S = 0.5
# Time after a silence in which the endpoint is used again.
MAX_RETURN_S = 0.5
MAX_ATTEMPTS = 2
SilenceFactory = Callable[..., SilentEndpoints]
NO_RETRIES = RetryBudgetSettings(0.0, 0.0, 10.0)

silences = pytest.mark.parametrize("accepts", [True, False], ids=["accepting", "not_accepting"])
positions = pytest.mark.parametrize("victim", [0, 1], ids=["first", "second"])
documents = pytest.mark.parametrize("changes", [False, True], ids=["calm", "document_change"])


def _changed(version: int, usual: int = 10, **stream_route: Any) -> dict[str, Any]:
    """Return changes of a document: fields of the stream route and the usual sizes."""
    document = json.loads(make_document(version))
    document["routes"][2].update(stream_route)
    document["services"][1]["engine"]["usual"]["prompt"] = usual
    return {"routes": document["routes"], "services": document["services"]}


async def _async_change_document(
    deployment: Deployment, silent: SilentEndpoints, **stream_route: Any
) -> None:
    """Put two documents with other figures in the middle of the silence."""
    await silent.has_fallen_silent.wait()
    for version in (2, 3):
        await asyncio.sleep(SILENCE_S / 4)
        timeout_ms = 3_000 + 100 * version
        changes = _changed(version, 10 + version, **{**stream_route, "timeout-ms": timeout_ms})
        await deployment.async_set_document(version, **changes)


async def _async_stream_through_silence(
    deployment: Deployment, silent: SilentEndpoints, changes: bool, **stream_route: Any
) -> HTTPResponse:
    """Send a stream during which an endpoint falls silent; change documents meanwhile."""
    pending = asyncio.ensure_future(deployment.async_send_request("stream", "a-1"))
    if changes:
        await _async_change_document(deployment, silent, **stream_route)
    return await pending


@pytest.fixture
async def frugal_deployment(tmp_path: Path) -> AsyncIterator[Deployment]:
    """Run a deployment whose retry budget is empty."""
    async with async_run_deployment(tmp_path / "log", NO_RETRIES) as running:
        yield running


@pytest.fixture
async def make_silent() -> AsyncIterator[SilenceFactory]:
    """Return a factory of silent endpoints, which are woken after the test."""
    created: list[SilentEndpoints] = []

    def make(deployment: Deployment, **settings: Any) -> SilentEndpoints:
        created.append(SilentEndpoints(deployment, **settings))
        return created[-1]

    yield make
    for silent in created:
        await silent.async_close()


@silences
@positions
@documents
async def test_stream_that_cannot_be_resumed_survives_silence(
    deployment: Deployment, make_silent: SilenceFactory, accepts: bool, victim: int, changes: bool
) -> None:
    """It arrives whole and is sent once."""
    await async_start_engines(deployment, **_changed(1, resumable=False))
    silent = make_silent(deployment, accepts=accepts, silence_s=SILENCE_S, victim=victim)
    response = await _async_stream_through_silence(deployment, silent, changes, resumable=False)
    assert (response.code, response.body) == (200, COMPLETE_STREAM)
    assert silent.arrivals == ["a-1"]


@silences
@positions
@documents
async def test_stream_with_one_attempt_survives_silence(
    deployment: Deployment, make_silent: SilenceFactory, accepts: bool, victim: int, changes: bool
) -> None:
    """It arrives whole and is sent once."""
    await async_start_engines(deployment, **_changed(1, **{"max-attempts": 1}))
    silent = make_silent(deployment, accepts=accepts, silence_s=SILENCE_S, victim=victim)
    response = await _async_stream_through_silence(
        deployment, silent, changes, **{"max-attempts": 1}
    )
    assert (response.code, response.body) == (200, COMPLETE_STREAM)
    assert silent.arrivals == ["a-1"]


@silences
@positions
@documents
async def test_stream_on_its_last_attempt_survives_silence(
    deployment: Deployment, make_silent: SilenceFactory, accepts: bool, victim: int, changes: bool
) -> None:
    """It arrives whole although its first attempt was broken off."""
    await async_start_engines(deployment)
    silent = make_silent(deployment, accepts=accepts, silence_s=SILENCE_S, victim=victim)
    has_broken: list[bool] = []

    async def break_first_attempt(handler: WorkHandler) -> None:
        if has_broken:
            await silent.async_handle(handler)
            return
        has_broken.append(True)
        silent.arrivals.append(handler.attempt_id)
        handler.set_header("X-Lagoonwing-Response-Stamp", "stamp-first")
        await handler.send_events(1)
        await asyncio.sleep(0.05)
        connection: Any = handler.request.connection
        connection.stream.close()
        handler._finished = True

    for endpoint in deployment.endpoints:
        endpoint.handler_override = break_first_attempt
    response = await _async_stream_through_silence(deployment, silent, changes)
    assert (response.code, response.body) == (200, COMPLETE_STREAM)
    assert silent.arrivals == ["a-1"] * MAX_ATTEMPTS


@silences
@positions
@documents
async def test_stream_without_retry_budget_survives_silence(
    frugal_deployment: Deployment,
    make_silent: SilenceFactory,
    accepts: bool,
    victim: int,
    changes: bool,
) -> None:
    """It arrives whole and is sent once."""
    deployment = frugal_deployment
    await async_start_engines(deployment)
    silent = make_silent(deployment, accepts=accepts, silence_s=SILENCE_S, victim=victim)
    response = await _async_stream_through_silence(deployment, silent, changes)
    assert (response.code, response.body) == (200, COMPLETE_STREAM)
    assert silent.arrivals == ["a-1"]


@silences
@positions
@documents
async def test_stream_on_the_only_path_survives_silence(
    deployment: Deployment, make_silent: SilenceFactory, accepts: bool, victim: int, changes: bool
) -> None:
    """It arrives whole."""
    await async_start_engines(deployment, 2)
    silent = make_silent(deployment, accepts=accepts, silence_s=SILENCE_S, victim=victim)
    response = await _async_stream_through_silence(deployment, silent, changes)
    assert (response.code, response.body) == (200, COMPLETE_STREAM)
    assert len(silent.arrivals) <= MAX_ATTEMPTS


@silences
@positions
@documents
async def test_resumable_stream_with_other_paths_survives_silence(
    deployment: Deployment, make_silent: SilenceFactory, accepts: bool, victim: int, changes: bool
) -> None:
    """It arrives whole, whether or not it is resumed elsewhere."""
    await async_start_engines(deployment)
    silent = make_silent(deployment, accepts=accepts, silence_s=SILENCE_S, victim=victim)
    response = await _async_stream_through_silence(deployment, silent, changes)
    assert (response.code, response.body) == (200, COMPLETE_STREAM)
    assert len(silent.arrivals) <= MAX_ATTEMPTS


@silences
@positions
async def test_silence_is_no_crash_of_the_request(
    deployment: Deployment, make_silent: SilenceFactory, accepts: bool, victim: int
) -> None:
    """The same stream, during which an endpoint falls silent each time, is never quarantined."""
    await async_start_engines(deployment)
    silent = make_silent(deployment, accepts=accepts, silence_s=SILENCE_S, victim=victim)
    for number in range(5):
        silent.silent_after_event = 3
        response = await deployment.async_send_request("stream", f"a-{number}")
        assert (response.code, response.body) == (200, COMPLETE_STREAM)
        await asyncio.sleep(SILENCE_S)
        assert deployment.gateway._crash_tracker.counts() == {}


@silences
@positions
async def test_endpoint_is_used_soon_after_repeated_silences(
    deployment: Deployment, make_silent: SilenceFactory, accepts: bool, victim: int
) -> None:
    """A stream over the only path is served soon after each silence of an endpoint on it."""
    await async_start_engines(deployment, 2)
    silent = make_silent(deployment, accepts=accepts, silence_s=SILENCE_S, victim=victim)
    for number in range(3):
        silent.silent_after_event = 3
        silent.has_fallen_silent.clear()
        pending = asyncio.ensure_future(deployment.async_send_request("stream", f"a-{number}"))
        await silent.has_fallen_silent.wait()
        await asyncio.sleep(SILENCE_S + MAX_RETURN_S)
        response = await deployment.async_send_request("stream", f"b-{number}")
        await asyncio.gather(pending, return_exceptions=True)
        assert (response.code, response.body) == (200, COMPLETE_STREAM)


@silences
@documents
@pytest.mark.parametrize("route", ["safe", "unsafe"])
async def test_call_survives_silence_of_its_endpoint(
    deployment: Deployment, make_silent: SilenceFactory, accepts: bool, changes: bool, route: str
) -> None:
    """The only endpoint answers a call after its silence, and the caller gets that answer."""
    await deployment.async_set_document()
    await deployment.async_add_endpoint("p-1", "plain")
    silent = make_silent(deployment, accepts=accepts, silence_s=SILENCE_S)
    pending = asyncio.ensure_future(deployment.async_send_request(route, "a-1"))
    if changes:
        await _async_change_document(deployment, silent)
    response = await pending
    assert (response.code, response.body) == (200, b"body of a-1")
    assert silent.arrivals == ["a-1"]
    assert deployment.gateway._crash_tracker.counts() == {}


@silences
@documents
@pytest.mark.parametrize("route", ["safe", "unsafe"])
async def test_call_to_silent_endpoint_is_answered_truthfully(
    deployment: Deployment, make_silent: SilenceFactory, accepts: bool, changes: bool, route: str
) -> None:
    """A call that comes during the silence is served, or refused without having run."""
    await deployment.async_set_document()
    endpoint = await deployment.async_add_endpoint("p-1", "plain")
    silent = make_silent(deployment, accepts=accepts, silence_s=SILENCE_S)
    silent.silent_after_event = None
    await silent.async_silence(endpoint)
    pending = asyncio.ensure_future(deployment.async_send_request(route, "a-1"))
    if changes:
        await _async_change_document(deployment, silent)
    response = await pending
    await asyncio.sleep(SILENCE_S)
    assert response.code in (200, 502, 503, 504)
    assert response.code != 503 or silent.arrivals == []
    assert len(silent.arrivals) <= 1
    assert deployment.gateway._crash_tracker.counts() == {}
    assert (await deployment.async_send_request(route, "a-2")).code == 200


@documents
async def test_safe_call_with_another_endpoint_survives_silence(
    deployment: Deployment, make_silent: SilenceFactory, changes: bool
) -> None:
    """It is served by the other endpoint."""
    await deployment.async_set_document()
    for name in ("p-1", "p-2"):
        await deployment.async_add_endpoint(name, "plain")
    silent = make_silent(deployment, accepts=False, silence_s=SILENCE_S)
    pending = asyncio.ensure_future(deployment.async_send_request("safe", "a-1"))
    if changes:
        await _async_change_document(deployment, silent)
    response = await pending
    assert (response.code, response.body) == (200, b"body of a-1")
    assert len(silent.arrivals) <= MAX_ATTEMPTS


@silences
@positions
async def test_stream_leaves_a_path_that_is_dark_for_good(
    deployment: Deployment, make_silent: SilenceFactory, accepts: bool, victim: int
) -> None:
    """A resumable stream goes on over another path within about a second."""
    await async_start_engines(deployment)
    make_silent(deployment, accepts=accepts, silence_s=None, victim=victim)
    started_at = asyncio.get_running_loop().time()
    response = await deployment.async_send_request("stream", "a-1")
    elapsed_s = asyncio.get_running_loop().time() - started_at
    assert (response.code, response.body) == (200, COMPLETE_STREAM)
    assert elapsed_s < MAX_REPLACEMENT_S


async def test_stream_leaves_a_path_whose_endpoint_refuses_connections(
    deployment: Deployment, make_silent: SilenceFactory
) -> None:
    """A resumable stream goes on over another path at once, and the end counts as a crash."""
    await async_start_engines(deployment)
    silent = make_silent(deployment, accepts=True, silence_s=None, victim=1)
    silent.on_silence = stop_endpoint
    started_at = asyncio.get_running_loop().time()
    response = await deployment.async_send_request("stream", "a-1")
    elapsed_s = asyncio.get_running_loop().time() - started_at
    assert (response.code, response.body) == (200, COMPLETE_STREAM)
    assert elapsed_s < MAX_REFUSED_REPLACEMENT_S
    assert list(deployment.gateway._crash_tracker.counts().values()) == [1]
