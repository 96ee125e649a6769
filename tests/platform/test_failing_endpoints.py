"""Requests beside endpoints that fail requests while their health is good."""

from __future__ import annotations

import asyncio
import json
from collections import Counter

import pytest
from failing_endpoints import FailingEndpoints, FailureMode
from platform_deployment import Deployment, async_start_engines
from tornado.httpclient import HTTPResponse

from lagoonwing_fakes.platform import Endpoint, make_document
from lagoonwing_fakes.platform.const import EVENTS

COMPLETE_STREAM = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
ENGINES = 16
REQUESTS = 60
REQUEST_INTERVAL_S = 0.05
# Requests that may end unserved before the failing endpoints are known.
MAX_UNSERVED = 2

quick_modes = pytest.mark.parametrize("mode", [FailureMode.STATUS, FailureMode.RESET])


async def _async_send_all(deployment: Deployment, route: str) -> list[HTTPResponse]:
    """Send requests at a steady rate."""
    pending = []
    for number in range(REQUESTS):
        request = deployment.async_send_request(route, f"a-{number}")
        pending.append(asyncio.ensure_future(request))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    return await asyncio.gather(*pending)


def _entries(deployment: Deployment) -> list[Endpoint]:
    """Return the engines at which streams may enter."""
    return [engine for engine in deployment.endpoints if engine.layers and engine.layers[0] == 0]


def _count_unserved(responses: list[HTTPResponse]) -> int:
    """Return the number of streams that did not arrive whole."""
    statuses = Counter(
        response.code if response.body == COMPLETE_STREAM else -response.code
        for response in responses
    )
    print(statuses)
    return len(responses) - statuses[200]


# Guards against streams that end with 502 although healthy engines have capacity.
@quick_modes
async def test_streams_beside_engines_that_fail_everything_are_served(
    deployment: Deployment, mode: FailureMode
) -> None:
    """Engines without a success are avoided; at most the first streams are lost."""
    await async_start_engines(deployment, ENGINES)
    entries = _entries(deployment)
    failing = FailingEndpoints(entries[: 2 * len(entries) // 3], mode)
    responses = await _async_send_all(deployment, "stream")
    print(len(entries), len(failing.failed_ids))
    assert _count_unserved(responses) <= MAX_UNSERVED
    assert len(failing.failed_ids) <= REQUESTS / 3


@quick_modes
async def test_streams_beside_engines_that_fail_a_share_are_served(
    deployment: Deployment, mode: FailureMode
) -> None:
    """Successes in between don't hide that an engine fails two of five requests."""
    await async_start_engines(deployment, ENGINES)
    entries = _entries(deployment)
    failing = FailingEndpoints(entries[: 2 * len(entries) // 3], mode, share=0.4)
    responses = await _async_send_all(deployment, "stream")
    print(len(entries), len(failing.failed_ids))
    assert _count_unserved(responses) <= MAX_UNSERVED
    assert len(failing.failed_ids) <= REQUESTS / 6


# Guards against streams that are given to a mute engine again and again.
async def test_streams_beside_a_mute_engine_are_served(deployment: Deployment) -> None:
    """It accepts requests and never answers; only few streams are given to it."""
    await async_start_engines(deployment, ENGINES)
    failing = FailingEndpoints(_entries(deployment)[:1], FailureMode.MUTE)
    responses = await _async_send_all(deployment, "stream")
    print(len(failing.failed_ids))
    assert _count_unserved(responses) <= MAX_UNSERVED
    later_ids = [attempt_id for attempt_id in failing.failed_ids if int(attempt_id[2:]) >= 45]
    assert len(later_ids) <= 2


# Guards against a layer without a usable holder, which refuses all streams.
async def test_last_holders_are_used_although_they_fail(deployment: Deployment) -> None:
    """Where all entries fail a share of their requests, streams are still sent to them."""
    await async_start_engines(deployment, 4)
    FailingEndpoints(_entries(deployment), FailureMode.STATUS, share=0.4)
    responses = await _async_send_all(deployment, "stream")
    codes = Counter(response.code for response in responses)
    print(codes)
    assert codes[503] == 0
    assert codes[200] >= REQUESTS / 2


@quick_modes
@pytest.mark.parametrize("endpoints", [3, 4])
async def test_safe_calls_beside_an_endpoint_that_fails_everything_are_served(
    deployment: Deployment, mode: FailureMode, endpoints: int
) -> None:
    """An endpoint that fails fast looks idle; it must not attract the calls."""
    await deployment.async_set_document()
    for number in range(endpoints):
        await deployment.async_add_endpoint(f"p-{number}", "plain")
    failing = FailingEndpoints(deployment.endpoints[:1], mode)
    responses = await _async_send_all(deployment, "safe")
    codes = Counter(response.code for response in responses)
    print(codes, len(failing.failed_ids))
    assert codes[200] >= REQUESTS - MAX_UNSERVED
    assert len(failing.failed_ids) <= REQUESTS / 6


# Guards against an endpoint that is condemned for one response.
async def test_single_failed_response_condemns_no_endpoint(deployment: Deployment) -> None:
    """It is not reported to other gateways and is used again soon."""
    routes = json.loads(make_document())["routes"]
    routes[2]["service"] = "plain"
    await deployment.async_set_document(routes=routes)
    for number in range(2):
        await deployment.async_add_endpoint(f"p-{number}", "plain")
    failing = FailingEndpoints(deployment.endpoints, FailureMode.STATUS)
    assert (await deployment.async_send_request("stream", "a-0")).code == 500
    for endpoint in deployment.endpoints:
        endpoint.handler_override = None
    assert len(failing.failed_ids) == 2
    assert deployment.gateway._load_report().suspects == ()
    assert (await deployment.async_send_request("stream", "a-1")).code == 200
