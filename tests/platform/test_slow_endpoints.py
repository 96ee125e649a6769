"""Pauses of relayed streams reach the reports of a gateway, over real connections."""

from __future__ import annotations

import asyncio

from platform_deployment import Deployment, async_start_engines

from lagoonwing_core.ids import EndpointId
from lagoonwing_fakes.platform import WorkHandler
from lagoonwing_fakes.platform.const import EVENTS
from lagoonwing_platform.const import HEADER_SIGNATURE

# Many times the pause that the published figures of the engines explain.
SLOW_EVENT_S = 0.3


async def _async_send_slowly(handler: WorkHandler) -> None:
    """Send all events of a stream with long pauses."""
    handler.endpoint.executed_ids.append(handler.attempt_id)
    handler.set_header(HEADER_SIGNATURE, f"stamp-{handler.endpoint.endpoint_id}")
    handler.set_header("Content-Type", "text/event-stream")
    for number in range(1, EVENTS + 1):
        handler.write(f"id: {number}\ndata: token {number}\n\n")
        await handler.flush()
        await asyncio.sleep(SLOW_EVENT_S)
    handler.finish()


async def test_slow_stream_is_reported(deployment: Deployment) -> None:
    """Events of a slow path that don't reach the tracker would leave it unknown to all gateways."""
    await async_start_engines(deployment)
    for endpoint in deployment.endpoints:
        endpoint.handler_override = _async_send_slowly
    sent = asyncio.ensure_future(deployment.async_send_request("stream", "a-1"))
    gateway = deployment.gateway
    await deployment.async_wait_until(lambda: bool(gateway._load_report().slowdown_by_id))
    report = gateway._load_report().slowdown_by_id
    (first,) = [endpoint for endpoint in deployment.endpoints if endpoint.executed_ids]
    assert report[EndpointId(first.endpoint_id)] > 1.2
    await deployment.async_wait_until(lambda: gateway._pace_tracker.slow_count > 0)
    assert (await sent).code == 200


async def test_fast_streams_are_not_reported(deployment: Deployment) -> None:
    """Sound endpoints in each report would make it grow with the number of endpoints."""
    await async_start_engines(deployment)
    for number in range(5):
        assert (await deployment.async_send_request("stream", f"a-{number}")).code == 200
    # Longer than the interval at which pauses are evaluated.
    await asyncio.sleep(0.5)
    assert not deployment.gateway._load_report().slowdown_by_id
