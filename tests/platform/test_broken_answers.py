"""Answers of endpoints that end early, come late or lack framing."""

from __future__ import annotations

import asyncio
from typing import Any

from platform_deployment import Deployment, async_start_engines

from lagoonwing_fakes.platform import WorkHandler
from lagoonwing_fakes.platform.const import EVENTS

EVENT_CONTENTS = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, EVENTS + 1)]
COMPLETE_STREAM = b"".join(EVENT_CONTENTS)
LATE_BODY_S = 1.5


def _break_off(handler: WorkHandler) -> None:
    """Close the connection in the middle of an answer."""
    connection: Any = handler.request.connection
    connection.stream.close()
    handler._finished = True


def _override_all(deployment: Deployment, handle: Any) -> None:
    """Handle the requests to all endpoints with one function."""
    for endpoint in deployment.endpoints:
        endpoint.handler_override = handle


async def _async_refuse_with_late_body(handler: WorkHandler) -> None:
    """Send the head of a refusal at once, its body later."""
    handler.set_status(503)
    handler.set_header("X-Lagoonwing-Not-Executed", "1")
    handler.write(b"f")
    await handler.flush()
    await asyncio.sleep(LATE_BODY_S)
    _break_off(handler)


async def test_refusal_with_late_body_moves_the_stream(deployment: Deployment) -> None:
    """A stream that an endpoint refuses is served on another path."""
    await async_start_engines(deployment)
    refused: list[bool] = []

    async def handle(handler: WorkHandler) -> None:
        if not refused:
            refused.append(True)
            await _async_refuse_with_late_body(handler)

    _override_all(deployment, handle)
    response = await deployment.async_send_request("stream", "a-1")
    assert (response.code, response.body) == (200, COMPLETE_STREAM)
