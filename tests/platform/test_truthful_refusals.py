"""A request that may have run is never answered as one that has not, whatever its last attempt."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from platform_deployment import Deployment, async_start_engines

from lagoonwing_fakes.platform import WorkHandler, make_document
from lagoonwing_platform.const import HEADER_NOT_EXECUTED, HEADER_SIGNATURE

Behavior = Callable[[WorkHandler], Awaitable[None]]


async def _async_refuse(handler: WorkHandler) -> None:
    """Refuse a request."""
    handler.set_status(503)
    handler.set_header(HEADER_NOT_EXECUTED, "1")
    handler.finish()


async def _async_fail(handler: WorkHandler) -> None:
    """Execute a request and answer with a failure."""
    handler.endpoint.executed_ids.append(handler.attempt_id)
    handler.set_status(500)
    handler.set_header(HEADER_SIGNATURE, "stamp-of-the-failure")
    handler.finish(b"failed")


async def _async_lose_answer(handler: WorkHandler) -> None:
    """Execute a request and close its connection."""
    handler.endpoint.executed_ids.append(handler.attempt_id)
    connection: Any = handler.request.connection
    connection.stream.close()
    handler._finished = True


def _play_in_order(deployment: Deployment, *behaviors: Behavior) -> None:
    """Handle the first attempts by these behaviors, wherever they arrive, and refuse all others."""
    left = list(behaviors)

    async def handle(handler: WorkHandler) -> None:
        await (left.pop(0) if left else _async_refuse)(handler)

    for endpoint in deployment.endpoints:
        endpoint.handler_override = handle


async def _async_start(deployment: Deployment, route: str) -> None:
    """Start endpoints for a route whose requests are sent up to three times."""
    routes = json.loads(make_document())["routes"]
    for item in routes:
        item["max-attempts"] = 3
    if route == "stream":
        await async_start_engines(deployment, routes=routes)
        return
    routes[2]["service"] = "plain"
    await deployment.async_set_document(routes=routes)
    for number in range(3):
        await deployment.async_add_endpoint(f"p-{number}", "plain")


# Guards against the promise "not run" after a run: the caller repeats what has taken place.
@pytest.mark.parametrize(
    ("kind", "route"), [("call", "safe"), ("plain", "plain"), ("path", "stream")]
)
@pytest.mark.parametrize(
    ("first", "status"), [(_async_fail, 500), (_async_lose_answer, 502)], ids=["failed", "lost"]
)
async def test_refusal_after_a_run_does_not_hide_it(
    deployment: Deployment, kind: str, route: str, first: Behavior, status: int
) -> None:
    """The endpoint's own failure is passed on, or the outcome is unknown."""
    await _async_start(deployment, route)
    _play_in_order(deployment, first, _async_refuse, _async_refuse)
    response = await deployment.async_send_request("safe" if kind == "call" else "stream", "a-1")
    assert response.code == status
    if status == 500:
        assert response.body == b"failed"
        assert response.headers[HEADER_SIGNATURE] == "stamp-of-the-failure"


# Guards against a failure that an endpoint has answered and that a later lost answer hides.
async def test_own_failure_of_an_endpoint_tells_more_than_a_lost_answer(
    deployment: Deployment,
) -> None:
    """The answer that exists is passed on."""
    await _async_start(deployment, "safe")
    _play_in_order(deployment, _async_fail, _async_lose_answer, _async_refuse)
    response = await deployment.async_send_request("safe", "a-1")
    assert (response.code, response.body) == (500, b"failed")


async def test_request_that_only_was_refused_has_not_run(deployment: Deployment) -> None:
    """The promise is still made where it holds."""
    await _async_start(deployment, "safe")
    _play_in_order(deployment, _async_refuse, _async_refuse, _async_refuse)
    response = await deployment.async_send_request("safe", "a-1")
    assert response.code == 503
    assert float(response.headers["Retry-After"]) > 0
