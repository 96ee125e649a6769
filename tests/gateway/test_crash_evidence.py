"""A refused connection is no crash while no other endpoint accepts one either."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import cast

from ports import reserve_port
from reach_support import CatalogStandIn, make_endpoint

from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import ServiceId
from lagoonwing_gateway._directory import EndpointDirectory
from lagoonwing_gateway._follower import CatalogFollower
from lagoonwing_gateway._suspicions import SuspicionTracker
from lagoonwing_gateway._watchdog import Watchdog
from lagoonwing_gateway.models import FailureEvidence

SERVICE = ServiceId("engines")
ENDPOINTS = 4
ADDRESS = "127.0.0.1"


@asynccontextmanager
async def _async_listen(port: int) -> AsyncIterator[None]:
    """Accept connections at a port."""
    server = await asyncio.start_server(lambda reader, writer: writer.close(), ADDRESS, port)
    async with server:
        yield


def _watchdog() -> tuple[Watchdog, list[int]]:
    """Return a watchdog over endpoints at free ports, and these ports."""
    clock = LoopClock()
    ports = [reserve_port(ADDRESS) for _ in range(ENDPOINTS)]
    records = [make_endpoint(SERVICE, number, port) for number, port in enumerate(ports)]
    follower = CatalogStandIn({record.endpoint_id: record for record in records})
    suspicions = SuspicionTracker(clock)
    directory = EndpointDirectory(cast(CatalogFollower, follower), suspicions, clock)
    follower.on_change()
    return Watchdog(directory, suspicions, clock, lambda reason: None, random.Random(1)), ports


async def test_endpoint_that_refuses_beside_others_has_crashed() -> None:
    """One endpoint refuses while another one accepts connections."""
    watchdog, ports = _watchdog()
    async with _async_listen(ports[-1]):
        assert await watchdog.async_probe(_first(watchdog)) is FailureEvidence.REFUSED


async def test_endpoints_that_all_refuse_have_not_crashed() -> None:
    """A gateway whose connections are all reset has lost its network, not its endpoints."""
    watchdog, _ = _watchdog()
    assert await watchdog.async_probe(_first(watchdog)) is FailureEvidence.BROKEN


async def test_only_endpoint_that_refuses_has_crashed() -> None:
    """Without another endpoint there is nothing to compare with."""
    watchdog, _ = _watchdog()
    directory = watchdog._directory
    for endpoint_id in directory.ids_of_service(SERVICE)[1:]:
        del directory._follower.endpoint_by_id[endpoint_id]
    directory._refresh()
    assert await watchdog.async_probe(_first(watchdog)) is FailureEvidence.REFUSED


def _first(watchdog: Watchdog):  # type: ignore[no-untyped-def]
    """Return the first endpoint."""
    directory = watchdog._directory
    return directory.record(directory.ids_of_service(SERVICE)[0])
