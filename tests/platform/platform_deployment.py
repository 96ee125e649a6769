"""A registry and a gateway in the test process, connected to fakes of the platform."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ports import reserve_port
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from lagoonwing_catalog import CatalogStateMachine
from lagoonwing_catalog.messages import ReplicaAddress
from lagoonwing_consensus import CoreSettings
from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import FailureDomainId, HostId
from lagoonwing_fakes.platform import (
    Endpoint,
    heartbeat_path,
    make_caller_headers,
    make_document,
    start_endpoint,
)
from lagoonwing_fakes.platform.const import ADDRESS
from lagoonwing_gateway import Gateway, GatewaySettings, RetryBudgetSettings
from lagoonwing_platform.control_server import ControlServer
from lagoonwing_platform.dialect import PlatformDialect
from lagoonwing_platform.engine_client import EngineClient
from lagoonwing_platform.front_server import FrontServer
from lagoonwing_registry import RegistryService, RegistrySettings
from lagoonwing_replication import LogSettings, RaftLog, ReplicaHost
from lagoonwing_wire import ChannelServer, Identity

KEY = b"key-of-the-tests-0123456789"
TIMEOUT_S = 15.0
RETRY_BUDGET = RetryBudgetSettings(0.2, 100.0, 10.0)


@dataclass
class Deployment:
    """A running registry and gateway."""

    registry: RegistryService
    gateway: Gateway
    front: FrontServer
    control_port: int
    caller_port: int
    ready_port: int
    peer_port: int
    endpoints: list[Endpoint] = field(default_factory=list)

    async def async_call(
        self, port: int, path: str, method: str = "GET", body: bytes | None = None, **headers: str
    ) -> HTTPResponse:
        """Send an HTTP request to a port of the deployment."""
        return await AsyncHTTPClient(force_instance=True).fetch(
            f"http://{ADDRESS}:{port}{path}",
            method=method,
            body=body,
            headers={name.replace("_", "-"): value for name, value in headers.items()},
            raise_error=False,
            request_timeout=TIMEOUT_S,
            allow_nonstandard_methods=True,
        )

    async def async_put_document(self, body: bytes) -> HTTPResponse:
        """Upload a configuration document as the operator."""
        return await self.async_call(self.control_port, "/lagoonwing/config/put", "POST", body)

    async def async_send_heartbeat(self, endpoint: Endpoint, **changes: Any) -> HTTPResponse:
        """Send a heartbeat for an endpoint."""
        path = heartbeat_path(endpoint.endpoint_id)
        return await self.async_call(self.control_port, path, "POST", endpoint.heartbeat(**changes))

    async def async_send_request(self, route: str, attempt_id: str, **headers: str) -> HTTPResponse:
        """Send a request as a caller."""
        default_headers = make_caller_headers(route, attempt_id, deadline_ms=3_000)
        method = "GET" if route == "safe" else "POST"
        body = None if route == "safe" else b"question"
        return await self.async_call(
            self.caller_port, f"/{route}/x?y=1", method, body, **{**default_headers, **headers}
        )

    async def async_wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def async_add_endpoint(
        self, endpoint_id: str, service: str, kind: str | None = None
    ) -> Endpoint:
        """Start and announce an endpoint, and wait until the gateway knows it."""
        endpoint = start_endpoint(endpoint_id, service, kind)
        self.endpoints.append(endpoint)
        assert (await self.async_send_heartbeat(endpoint)).code == 200
        await self.async_wait_until(lambda: endpoint_id in self.gateway.follower.endpoint_by_id)
        return endpoint

    async def async_set_document(self, version: int = 1, **changes: Any) -> None:
        """Upload a document and wait until the gateway has applied it."""
        assert (await self.async_put_document(make_document(version, **changes))).code == 200
        follower = self.gateway.follower
        await self.async_wait_until(
            lambda: follower.routes is not None and follower.routes.version == version
        )


@asynccontextmanager
async def async_run_deployment(
    folder: Path,
    retry_budget: RetryBudgetSettings = RETRY_BUDGET,
    announce_interval_s: float = 30.0,
    drain_grace_s: float = 2.0,
) -> AsyncIterator[Deployment]:
    """Run a single-voter registry and a gateway."""
    peer_port, control_port, caller_port, ready_port = (reserve_port(ADDRESS) for _ in range(4))
    clock = LoopClock()
    host_id = HostId(ADDRESS)
    identity = Identity(host_id, KEY)
    server = ChannelServer(identity, ADDRESS, peer_port)
    state_machine = CatalogStateMachine()
    own = ReplicaHost(host_id, ADDRESS, peer_port, is_voter=True)
    core = CoreSettings(heartbeat_s=0.05, election_min_s=0.2, election_max_s=0.3, voter_count=1)
    log = RaftLog(LogSettings(host_id, folder, (own,), core=core), state_machine, identity, server)
    registry = RegistryService(
        RegistrySettings(host_id, FailureDomainId("d-1"), ADDRESS, peer_port, announce_interval_s),
        identity,
        state_machine,
        log,
        server,
        EngineClient(),
        clock,
    )
    dialect = PlatformDialect(lambda endpoint_id: gateway.endpoint_address(endpoint_id))
    gateway = Gateway(
        GatewaySettings(
            FailureDomainId("d-1"),
            lambda: (ReplicaAddress(host_id, ADDRESS, peer_port),),
            retry_budget,
            drain_grace_s,
        ),
        Identity(HostId("gateway-1"), KEY),
        dialect,
        clock,
        random.Random(1),
    )
    front = FrontServer(gateway, (ADDRESS, caller_port), (ADDRESS, ready_port))
    components = (
        server,
        registry,
        log,
        ControlServer(registry, ADDRESS, control_port),
        gateway,
        front,
    )
    for component in components:
        await component.async_setup()
    deployment = Deployment(
        registry, gateway, front, control_port, caller_port, ready_port, peer_port
    )
    try:
        await deployment.async_wait_until(lambda: log.lease_term() is not None)
        yield deployment
    finally:
        for component in reversed(components):
            await component.async_unload()
        for endpoint in deployment.endpoints:
            assert endpoint.server is not None
            endpoint.server.stop()


async def async_start_engines(
    deployment: Deployment, count: int = 8, **document_changes: Any
) -> None:
    """Upload a document and start engines; eight of them serve every layer twice."""
    await deployment.async_set_document(**document_changes)
    for number in range(count):
        await deployment.async_add_endpoint(f"e-{number}", "engines", "small")
    engines = deployment.endpoints
    await deployment.async_wait_until(
        lambda: all(endpoint.layers is not None for endpoint in engines)
    )
    for engine in engines:
        assert (await deployment.async_send_heartbeat(engine)).code == 200
    follower = deployment.gateway.follower
    await deployment.async_wait_until(
        lambda: all(record.layers for record in follower.endpoint_by_id.values())
    )
