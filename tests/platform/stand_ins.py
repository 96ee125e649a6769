"""Stand-ins of the platform's endpoints, and one deployment in the test's own process."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from lagoonwing_catalog import CatalogStateMachine
from lagoonwing_catalog.messages import ReplicaAddress
from lagoonwing_consensus import CoreSettings
from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import FailureDomainId, HostId
from lagoonwing_gateway import Gateway, GatewaySettings, RetryBudgetSettings
from lagoonwing_platform.control_server import ControlServer
from lagoonwing_platform.dialect import PlatformDialect
from lagoonwing_platform.engine_client import EngineClient
from lagoonwing_platform.front_server import FrontServer
from lagoonwing_registry import RegistryService, RegistrySettings
from lagoonwing_replication import LogSettings, RaftLog, ReplicaHost
from lagoonwing_wire import ChannelServer, Identity

ADDRESS = "127.0.0.1"
KEY = b"key-of-the-tests-0123456789"
EVENTS = 6
WAIT_S = 15.0

Behaviour = Callable[["_WorkHandler"], Any]


@dataclass
class Endpoint:
    """One endpoint of the platform.

    Attributes:
        behave: What it does with a request; answers properly if there is nothing.
        ran: Ids of the requests that it has run.
    """

    endpoint_id: str
    service: str
    port: int
    kind: str | None = None
    layers: tuple[int, int] | None = None
    behave: Behaviour | None = None
    ran: list[str] = field(default_factory=list)
    headers_by_id: dict[str, dict[str, str]] = field(default_factory=dict)
    orders: int = 0
    sequence: int = 0
    server: HTTPServer | None = None
    caller_gone: asyncio.Event = field(default_factory=asyncio.Event)

    def heartbeat(self, **changes: Any) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        body: dict[str, Any] = {
            "service": self.service,
            "address": f"{ADDRESS}:{self.port}",
            "zone": "d-1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": 1,
        }
        if self.kind is not None:
            body["kind"] = self.kind
        if self.layers is not None:
            body["layers"] = {"from": self.layers[0], "to": self.layers[1], "version": 1}
        return json.dumps({**body, **changes}).encode()


class _WorkHandler(RequestHandler):
    """Requests to an endpoint."""

    def initialize(self, endpoint: Endpoint) -> None:
        """Take the endpoint."""
        self.endpoint = endpoint

    async def prepare(self) -> None:
        """Note the request and behave."""
        self.attempt_id = self.request.headers["X-Lagoonwing-Attempt-Id"]
        self.endpoint.headers_by_id[self.attempt_id] = dict(self.request.headers.get_all())
        self.set_header("X-Lagoonwing-Attempt-Id", self.attempt_id)
        if self.endpoint.behave is not None:
            await self.endpoint.behave(self)
        if not self._finished:
            await self.answer()

    def on_connection_close(self) -> None:
        """Note that the caller has gone."""
        self.endpoint.caller_gone.set()

    async def answer(self) -> None:
        """Run the request and answer properly."""
        self.endpoint.ran.append(self.attempt_id)
        self.set_header("X-Lagoonwing-Response-Stamp", f"stamp-{self.endpoint.endpoint_id}")
        if self.request.headers.get("X-Lagoonwing-Token-Count") is None:
            self.finish(b"body of " + self.attempt_id.encode() + b" " + self.request.body)
            return
        await self.send_events(EVENTS)
        self.finish()

    async def send_events(self, end: int) -> None:
        """Send the events after the last one that the caller has."""
        first = int(self.request.headers.get("Last-Event-Id", "0")) + 1
        self.set_header("Content-Type", "text/event-stream")
        for number in range(first, end + 1):
            self.write(f"id: {number}\ndata: token {number}\n\n")
            await self.flush()


class _ReportHandler(RequestHandler):
    """State of an engine."""

    def initialize(self, endpoint: Endpoint) -> None:
        """Take the endpoint."""
        self.endpoint = endpoint

    def get(self) -> None:
        """Tell the state."""
        self.finish({"sequence": self.endpoint.orders, "busy": False})


class _OrderHandler(RequestHandler):
    """Orders to an engine."""

    def initialize(self, endpoint: Endpoint) -> None:
        """Take the endpoint."""
        self.endpoint = endpoint

    def post(self) -> None:
        """Begin an order."""
        order = json.loads(self.request.body)
        if order["precondition"] != self.endpoint.orders:
            self.set_status(409)
            self.finish({})
            return
        self.endpoint.orders += 1
        self.endpoint.layers = (order["from"], order["to"])
        self.set_status(202)
        self.finish({})


def start_endpoint(endpoint_id: str, service: str, kind: str | None = None) -> Endpoint:
    """Start an endpoint."""
    sock, port = bind_unused_port(address=ADDRESS)
    endpoint = Endpoint(endpoint_id, service, port, kind)
    arguments = {"endpoint": endpoint}
    application = Application(
        [
            ("/lagoonwing/report", _ReportHandler, arguments),
            ("/lagoonwing/order", _OrderHandler, arguments),
            (".*", _WorkHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    endpoint.server = HTTPServer(application)
    endpoint.server.add_socket(sock)
    return endpoint


def document(version: int = 1, **changes: Any) -> bytes:
    """Return the operator's document: a call route of each kind and a stream route."""

    def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": "h.example",
            "path-prefix": f"/{name}/",
            "kind": kind,
            "timeout-ms": 3000,
            "slo-ms": 400,
            "priority": 1,
            "service": service,
            "max-attempts": 2,
            "public": False,
            **more,
        }

    body = {
        "version": version,
        "routes": [
            route("safe", "safe", "plain"),
            route("unsafe", "unsafe", "plain", **{"max-attempts": 1}),
            route("stream", "stream", "engines", resumable=True, **{"gap-target-ms": 200}),
        ],
        "services": [
            {"name": "plain", "health-path": "/healthz", "max-connections": 8},
            {"name": "engines", "health-path": "/healthz", "max-connections": 8, "engine": ENGINE},
        ],
        "tenants": [{"name": "m-1", "api-keys": ["key-1"], "priority": 1}],
    }
    return json.dumps({**body, **changes}).encode()


ENGINE = {
    "slots": 8,
    "kv-bytes": 8_000,
    "stride": 1,
    "models": [{"name": "model", "pace": 1.0, "load-s": 0.1, "warm-s": 0}],
    "step_ms": 1.0,
    "per_seq_ms": 0.01,
    "context_per_k": 0.01,
    "read_per_s": 100_000.0,
    "loads_at_once": 5,
    "usual": {"prompt": 10, "answer": 6},
    "layers": 8,
    "layer-mb": 1.0,
    "act-bytes": 10,
    "pipe-mbps": 1_000.0,
    "kinds": [{"name": "small", "size-mb": 6.0, "pace": 1.0, "read-x": 1.0}],
}


@dataclass
class Deployment:
    """One registry and one gateway."""

    registry: RegistryService
    gateway: Gateway
    front: FrontServer
    control_port: int
    caller_port: int
    ready_port: int
    endpoints: list[Endpoint] = field(default_factory=list)

    async def async_call(
        self, port: int, path: str, method: str = "GET", body: bytes | None = None, **headers: str
    ) -> HTTPResponse:
        """Call one of the deployment's addresses."""
        return await AsyncHTTPClient(force_instance=True).fetch(
            f"http://{ADDRESS}:{port}{path}",
            method=method,
            body=body,
            headers={name.replace("_", "-"): value for name, value in headers.items()},
            raise_error=False,
            request_timeout=WAIT_S,
            allow_nonstandard_methods=True,
        )

    async def async_put(self, body: bytes) -> HTTPResponse:
        """Send a document as the operator."""
        return await self.async_call(self.control_port, "/lagoonwing/config/put", "POST", body)

    async def async_beat(self, endpoint: Endpoint, **changes: Any) -> HTTPResponse:
        """Send a heartbeat of an endpoint."""
        path = f"/lagoonwing/instances/{endpoint.endpoint_id}/heartbeat"
        return await self.async_call(self.control_port, path, "POST", endpoint.heartbeat(**changes))

    async def async_ask(self, route: str, attempt_id: str, **headers: str) -> HTTPResponse:
        """Send a caller's request."""
        given = {
            "Host": "h.example",
            "Authorization": "Bearer key-1",
            "X_Lagoonwing_Attempt_Id": attempt_id,
            "X_Lagoonwing_Deadline_Ms": "3000",
        }
        if route == "stream":
            given["X_Lagoonwing_Token_Count"] = "10,6"
        method = "GET" if route == "safe" else "POST"
        body = None if route == "safe" else b"question"
        return await self.async_call(
            self.caller_port, f"/{route}/x?y=1", method, body, **{**given, **headers}
        )

    async def async_until(self, condition: Callable[[], bool]) -> None:
        """Wait until something holds."""
        async with asyncio.timeout(WAIT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def async_add(self, endpoint_id: str, service: str, kind: str | None = None) -> Endpoint:
        """Start an endpoint, announce it, and wait until the gateway knows of it."""
        endpoint = start_endpoint(endpoint_id, service, kind)
        self.endpoints.append(endpoint)
        assert (await self.async_beat(endpoint)).code == 200
        await self.async_until(lambda: endpoint_id in self.gateway.follower.endpoint_by_id)
        return endpoint

    async def async_set_document(self, version: int = 1, **changes: Any) -> None:
        """Put a document and wait until the gateway has it."""
        assert (await self.async_put(document(version, **changes))).code == 200
        follower = self.gateway.follower
        await self.async_until(
            lambda: follower.routes is not None and follower.routes.version == version
        )


@asynccontextmanager
async def async_deploy(folder: Path) -> AsyncIterator[Deployment]:
    """Run a registry with one voter and a gateway."""
    ports = []
    for _ in range(4):
        sock, port = bind_unused_port(address=ADDRESS)
        sock.close()
        ports.append(port)
    peer_port, control_port, caller_port, ready_port = ports
    clock = LoopClock()
    host_id = HostId(ADDRESS)
    identity = Identity(host_id, KEY)
    server = ChannelServer(identity, ADDRESS, peer_port)
    machine = CatalogStateMachine()
    own = ReplicaHost(host_id, ADDRESS, peer_port, is_voter=True)
    core = CoreSettings(heartbeat_s=0.05, election_min_s=0.2, election_max_s=0.3, voter_count=1)
    log = RaftLog(LogSettings(host_id, folder, (own,), core=core), machine, identity, server)
    registry = RegistryService(
        RegistrySettings(host_id, FailureDomainId("d-1"), ADDRESS, peer_port, 30.0),
        identity,
        machine,
        log,
        server,
        EngineClient(),
        clock,
    )
    dialect = PlatformDialect(lambda endpoint_id: gateway.endpoint_key(endpoint_id))
    gateway = Gateway(
        GatewaySettings(
            FailureDomainId("d-1"),
            (ReplicaAddress(host_id, ADDRESS, peer_port),),
            RetryBudgetSettings(0.2, 100.0, 10.0),
            2.0,
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
    deployment = Deployment(registry, gateway, front, control_port, caller_port, ready_port)
    try:
        await deployment.async_until(lambda: log.lease_term() is not None)
        yield deployment
    finally:
        for component in reversed(components):
            await component.async_unload()
        for endpoint in deployment.endpoints:
            assert endpoint.server is not None
            endpoint.server.stop()
