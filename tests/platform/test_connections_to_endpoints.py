"""Connections that a gateway opens to endpoints, by their reason."""

from __future__ import annotations

import asyncio
import json
from collections import Counter

from platform_deployment import Deployment, async_start_engines

from lagoonwing_fakes.platform import WorkHandler, make_document
from lagoonwing_fakes.platform.const import EVENTS
from lagoonwing_gateway.models import ConnectionReason
from lagoonwing_platform.const import HEADER_SIGNATURE

REQUESTS = 40
REQUEST_INTERVAL_S = 0.1
PAUSE_S = 0.1


async def _async_send_slowly(handler: WorkHandler) -> None:
    """Send the events of a stream with the pauses of a slow path."""
    handler.set_header(HEADER_SIGNATURE, f"stamp-{handler.endpoint.endpoint_id}")
    for number in range(1, EVENTS + 1):
        handler.write(f"id: {number}\ndata: token {number}\n\n")
        await handler.flush()
        await asyncio.sleep(PAUSE_S)
    await handler.finish()


def _count_by_reason(deployment: Deployment) -> Counter[str]:
    """Return the connections that the gateway has opened, by their reason."""
    counter = deployment.gateway.metrics._connections
    return Counter({labels["reason"]: int(value) for labels, value in counter.get_all()})


# Guards against connections whose number follows from pauses of streams, not from requests.
async def test_slow_streams_cause_few_connections(deployment: Deployment) -> None:
    """The engines pause for 0.1 s between events, as usual."""
    document = json.loads(make_document())
    document["routes"][2]["gap-target-ms"] = 250
    await async_start_engines(deployment, routes=document["routes"])
    for engine in deployment.endpoints:
        engine.handler_override = _async_send_slowly
    pending = []
    for number in range(REQUESTS):
        pending.append(
            asyncio.ensure_future(deployment.async_send_request("stream", f"a-{number}"))
        )
        await asyncio.sleep(REQUEST_INTERVAL_S)
    responses = await asyncio.gather(*pending)
    count_by_reason = _count_by_reason(deployment)
    print(dict(count_by_reason))
    assert [response.code for response in responses] == [200] * REQUESTS
    assert count_by_reason[ConnectionReason.PROBE_SILENT.value] <= REQUESTS / 10
    assert count_by_reason.total() <= REQUESTS / 2
