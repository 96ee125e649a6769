"""Endpoints that say in their answers that they want a pause, or that they leave."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Awaitable, Callable

import pytest
from platform_deployment import Deployment

from lagoonwing_fakes.platform import Endpoint, WorkHandler, make_document
from lagoonwing_platform.const import HEADER_NOT_EXECUTED, HEADER_SIGNATURE

PAUSE_S = 2.0
# Time that a gateway has to notice, and requests that may come after it until the pause ends.
NOTICE_S = 0.5
MAX_LATE_REQUESTS = 2
# Time within which an endpoint whose pause has ended gets requests again.
RETURN_S = 2.0
DRAIN_S = 2.0
INTERVAL_S = 0.02
KINDS = ("safe", "unsafe", "stream")
RequestBehavior = Callable[[WorkHandler], Awaitable[None]]


async def _async_start(deployment: Deployment, count: int = 4) -> list[Endpoint]:
    """Start plain endpoints that serve all kinds of requests."""
    document = json.loads(make_document())
    for route in document["routes"]:
        route.update({"service": "plain", "max-attempts": 3})
    await deployment.async_set_document(routes=document["routes"])
    for number in range(count):
        await deployment.async_add_endpoint(f"p-{number}", "plain")
    return deployment.endpoints


async def _async_call_for(deployment: Deployment, seconds: float) -> list[int]:
    """Send requests of all kinds for some time; return their statuses."""
    loop = asyncio.get_running_loop()
    ends_at, kinds = loop.time() + seconds, itertools.cycle(KINDS)
    calls: list[asyncio.Task[int]] = []
    while loop.time() < ends_at:
        calls.append(asyncio.ensure_future(_async_status(deployment, next(kinds))))
        await asyncio.sleep(INTERVAL_S)
    return list(await asyncio.gather(*calls))


_numbers = itertools.count()


async def _async_status(deployment: Deployment, kind: str) -> int:
    """Send a request; return the status of its answer."""
    response = await deployment.async_send_request(kind, f"n-{next(_numbers)}")
    return response.code


def _resting(seconds: str, pauses: list[float]) -> RequestBehavior:
    """Return a handler that turns requests away until a pause has been asked for and is over."""

    async def handle(handler: WorkHandler) -> None:
        now = asyncio.get_running_loop().time()
        if pauses and now >= pauses[0] + PAUSE_S:
            return
        if not pauses:
            pauses.append(now)
        handler.set_status(503)
        handler.set_header(HEADER_NOT_EXECUTED, "1")
        handler.set_header("Retry-After", seconds)
        handler.finish()

    return handle


@pytest.mark.parametrize("count", [1, 2])
async def test_endpoint_that_wants_a_pause_gets_it(deployment: Deployment, count: int) -> None:
    """Requests go elsewhere until the pause ends; then the endpoint gets its part again."""
    endpoints = await _async_start(deployment)
    pauses_by_endpoint: list[list[float]] = [[] for _ in range(count)]
    for endpoint, pauses in zip(endpoints, pauses_by_endpoint, strict=False):
        endpoint.handler_override = _resting(f"{PAUSE_S:g}", pauses)
    statuses = await _async_call_for(deployment, PAUSE_S + RETURN_S + 1.0)
    assert statuses.count(200) == len(statuses)
    for endpoint, pauses in zip(endpoints, pauses_by_endpoint, strict=False):
        begun_at = pauses[0]
        late = [at for at in endpoint.arrived_at if begun_at + NOTICE_S < at < begun_at + PAUSE_S]
        assert len(late) <= MAX_LATE_REQUESTS
        ends_at = begun_at + PAUSE_S
        assert any(ends_at <= at < ends_at + RETURN_S for at in endpoint.arrived_at)


async def test_endpoint_that_leaves_gets_no_new_request(deployment: Deployment) -> None:
    """It says so in an answer; what it has been sent is answered in peace."""
    endpoints = await _async_start(deployment)
    leaving_since: list[float] = []

    async def leave(handler: WorkHandler) -> None:
        leaving_since.append(asyncio.get_running_loop().time())
        handler.set_header("Server-Leaving", "1")

    endpoints[0].handler_override = leave
    statuses = await _async_call_for(deployment, DRAIN_S + 1.0)
    assert statuses.count(200) == len(statuses)
    late = [at for at in endpoints[0].arrived_at if at > leaving_since[0] + NOTICE_S]
    assert late == []
    # Another announcement of the same incarnation does not undo it.
    assert (await deployment.async_send_heartbeat(endpoints[0])).code == 200
    await _async_call_for(deployment, 0.5)
    assert [at for at in endpoints[0].arrived_at if at > leaving_since[0] + NOTICE_S] == []


async def test_new_incarnation_of_an_endpoint_that_left_is_sound(deployment: Deployment) -> None:
    """What an endpoint said is forgotten with its incarnation."""
    endpoints = await _async_start(deployment, count=1)

    async def leave(handler: WorkHandler) -> None:
        handler.set_header("Server-Leaving", "1")

    endpoints[0].handler_override = leave
    assert await _async_status(deployment, "safe") == 200
    assert await _async_status(deployment, "safe") == 503
    endpoints[0].handler_override = None
    assert (await deployment.async_send_heartbeat(endpoints[0], born=2)).code == 200
    await deployment.async_wait_until(
        lambda: any(
            record.started_ms == 2 for record in deployment.gateway.follower.endpoint_by_id.values()
        )
    )
    assert await _async_status(deployment, "safe") == 200


async def test_request_is_refused_at_once_while_all_endpoints_pause(
    deployment: Deployment,
) -> None:
    """The caller is told to come back no earlier than the first of them does."""
    endpoints = await _async_start(deployment, count=2)
    for endpoint in endpoints:
        endpoint.handler_override = _resting(f"{PAUSE_S:g}", [])
    await _async_call_for(deployment, 0.2)
    loop = asyncio.get_running_loop()
    for kind in KINDS:
        sent_at = loop.time()
        response = await deployment.async_send_request(kind, f"n-{next(_numbers)}")
        assert response.code == 503
        assert loop.time() - sent_at < 0.1
        back_s = min(at[-1] for at in (e.arrived_at for e in endpoints)) + PAUSE_S - loop.time()
        assert float(response.headers["Retry-After"]) >= back_s - NOTICE_S


@pytest.mark.parametrize(
    "text", ["", "-1", "nan", "inf", "soon", "Mon, 07 Dec 2026 04:12:32 GMT", "1" * 4_096]
)
async def test_odd_pause_is_none(deployment: Deployment, text: str) -> None:
    """An endpoint is not left alone because of a number that can't be read."""
    endpoints = await _async_start(deployment, count=1)

    async def refuse_once(handler: WorkHandler) -> None:
        endpoints[0].handler_override = None
        handler.set_status(503)
        handler.set_header(HEADER_NOT_EXECUTED, "1")
        handler.set_header("Retry-After", text)
        handler.finish()

    endpoints[0].handler_override = refuse_once
    assert await _async_status(deployment, "safe") == 503
    await asyncio.sleep(NOTICE_S)
    assert await _async_status(deployment, "safe") == 200


async def test_pause_is_no_failure(deployment: Deployment) -> None:
    """An endpoint that wants a pause is neither suspected nor reported to others."""
    endpoints = await _async_start(deployment, count=2)

    async def rest(handler: WorkHandler) -> None:
        handler.set_status(503)
        handler.set_header(HEADER_SIGNATURE, "stamp")
        handler.set_header("Retry-After", "0.3")
        handler.finish()

    endpoints[0].handler_override = rest
    await _async_call_for(deployment, 2.0)
    assert deployment.gateway._load_report().suspects == ()
