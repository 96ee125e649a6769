"""Several gateways that follow one registry, and engines that come back after they crash."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from platform_deployment import KEY, Deployment, async_run_deployment
from ports import reserve_port
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from lagoonwing_catalog.messages import ReplicaAddress
from lagoonwing_catalog.models import EndpointState
from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import EndpointId, FailureDomainId, HostId
from lagoonwing_core.tasks import TaskSet
from lagoonwing_fakes.platform import (
    CrashingPrompts,
    Endpoint,
    make_caller_headers,
    make_document,
    start_endpoint,
)
from lagoonwing_fakes.platform.const import ADDRESS, CALLER_KEY, EVENTS, HEADER_PROMPT_PARTS
from lagoonwing_gateway import Gateway, GatewaySettings, RetryBudgetSettings
from lagoonwing_platform.dialect import PlatformDialect
from lagoonwing_platform.front_server import FrontServer
from lagoonwing_wire import Identity

COMPLETE_STREAM = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
SECOND_KEY = "key-2"
MEMBERS = [
    {"name": "m-1", "api-keys": [CALLER_KEY], "priority": 1},
    {"name": "m-2", "api-keys": [SECOND_KEY], "priority": 1},
]
ANNOUNCE_INTERVAL_S = 1.0
HEARTBEAT_INTERVAL_S = 0.3
# Slots of an engine, enough that half of the engines can take all streams of a test.
SLOTS = 32
# Time until a crashed engine is back, at least and at most.
MIN_RETURN_S = 1.0
MAX_RETURN_S = 2.0
DEADLINE_MS = 4_000
REQUEST_TIMEOUT_S = 6.0
# Status of an attempt that ended without a complete answer.
NO_ANSWER = 599
# Retries within the window of the retry budget, so that the budget decides no test.
RETRY_SLACK = 10_000.0


@dataclass(frozen=True)
class Answer:
    """What a caller got for one attempt."""

    code: int
    body: bytes
    sent_at: float
    detail: str = ""

    @property
    def is_whole(self) -> bool:
        """Whether the caller got a complete stream."""
        return self.code == 200 and self.body == COMPLETE_STREAM


class GatewayNode:
    """A gateway that callers reach at a port of its own."""

    def __init__(self, number: int, registry: ReplicaAddress) -> None:
        self.caller_port = reserve_port(ADDRESS)
        identity = Identity(HostId(f"gateway-node-{number}"), KEY)
        dialect = PlatformDialect(lambda endpoint_id: self.gateway.endpoint_address(endpoint_id))
        settings = GatewaySettings(
            FailureDomainId("d-1"),
            lambda: (registry,),
            RetryBudgetSettings(0.2, RETRY_SLACK, 10.0),
            2.0,
        )
        self.gateway = Gateway(settings, identity, dialect, LoopClock(), random.Random(number))
        self._front = FrontServer(
            self.gateway, (ADDRESS, self.caller_port), (ADDRESS, reserve_port(ADDRESS))
        )

    async def async_setup(self) -> None:
        """Start the gateway."""
        await self.gateway.async_setup()
        await self._front.async_setup()

    async def async_unload(self) -> None:
        """Stop the gateway."""
        await self._front.async_unload()
        await self.gateway.async_unload()

    async def async_cut_off(self) -> None:
        """Cut the gateway off from the registry."""
        await self.gateway.follower.async_unload()

    async def async_reconnect(self) -> None:
        """End a cut."""
        await self.gateway.follower.async_setup()


@dataclass
class GatewayFleet:
    """Several gateways and the engines behind them."""

    deployment: Deployment
    rng: random.Random
    prompts: CrashingPrompts
    nodes: list[GatewayNode] = field(default_factory=list)
    engines: list[Endpoint] = field(default_factory=list)
    domain_by_port: dict[int, str] = field(default_factory=dict)
    tasks: TaskSet = field(default_factory=lambda: TaskSet("fleet"))
    started: int = 0

    async def async_wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        await self.deployment.async_wait_until(condition)

    async def async_add_node(self) -> GatewayNode:
        """Start one more gateway, and wait until it has the configuration."""
        self.started += 1
        registry = ReplicaAddress(HostId(ADDRESS), ADDRESS, self.deployment.peer_port)
        node = GatewayNode(self.started, registry)
        await node.async_setup()
        self.nodes.append(node)
        await self.async_wait_until(node.gateway.is_ready)
        return node

    async def async_remove_node(self, node: GatewayNode) -> None:
        """Stop a gateway."""
        self.nodes.remove(node)
        await node.async_unload()

    def start_engine(self, port: int, domain: str) -> None:
        """Start an engine; it announces itself until it crashes."""
        self.started += 1
        engine = start_endpoint(f"e-{self.started}", "engines", "large", port)
        engine.handler_override = self.prompts.async_handle
        self.domain_by_port[port] = domain
        self.engines.append(engine)
        self.announce(engine, domain)

    def announce(self, endpoint: Endpoint, domain: str) -> None:
        """Announce an endpoint until it crashes."""
        self.tasks.spawn(self._async_announce(endpoint, domain))

    def crash_engine(self, engine: Endpoint) -> None:
        """Crash an engine, which comes back later."""
        engine.crash()
        self.schedule_return(engine)

    def schedule_return(self, engine: Endpoint) -> None:
        """Let an engine that has crashed come back as a new incarnation."""
        self.engines.remove(engine)
        self.tasks.spawn(self._async_return(engine))

    async def async_wait_for_engines(self, count: int) -> None:
        """Wait until all gateways know this number of engines that hold layers."""
        await self.async_wait_until(
            lambda: all(self._known_engines(node) == count for node in self.nodes)
        )

    async def async_send(
        self,
        node: GatewayNode,
        parts: list[str],
        *,
        key: str = CALLER_KEY,
        target: str = "/stream/x",
        body: bytes = b"",
    ) -> Answer:
        """Send a stream request to a gateway, with a body of its own unless one is given."""
        self.started += 1
        headers = make_caller_headers("stream", f"a-{self.started}", DEADLINE_MS)
        headers["Authorization"] = f"Bearer {key}"
        headers[HEADER_PROMPT_PARTS] = ",".join(f"{part}:50" for part in parts)
        sent_at = asyncio.get_running_loop().time()
        client = AsyncHTTPClient(force_instance=True)
        try:
            response = await client.fetch(
                f"http://{ADDRESS}:{node.caller_port}{target}",
                method="POST",
                body=body or f"question {self.started}".encode(),
                headers=headers,
                raise_error=False,
                request_timeout=REQUEST_TIMEOUT_S,
            )
        except (HTTPClientError, OSError) as error:
            return Answer(NO_ANSWER, b"", sent_at, str(error))
        finally:
            client.close()
        return Answer(response.code, response.body, sent_at, str(response.error or ""))

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run something until the fleet is stopped."""
        self.tasks.spawn(coroutine)

    async def async_stop(self) -> None:
        """Stop engines and gateways."""
        await self.tasks.async_cancel()
        for node in self.nodes:
            await node.async_unload()
        for engine in self.engines:
            engine.crash()

    def _known_engines(self, node: GatewayNode) -> int:
        """Return the number of engines with layers that a gateway knows and that are running."""
        record_by_id = node.gateway.follower.endpoint_by_id
        records = [record_by_id.get(EndpointId(engine.endpoint_id)) for engine in self.engines]
        return sum(
            record is not None
            and record.state is EndpointState.READY
            and record.layers is not None
            and node.gateway._suspicions.is_usable(record.endpoint_id)
            for record in records
        )

    async def _async_announce(self, engine: Endpoint, domain: str) -> None:
        """Announce an engine until it crashes."""
        while not engine.has_crashed:
            await self.deployment.async_send_heartbeat(engine, zone=domain, slots=SLOTS)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _async_return(self, engine: Endpoint) -> None:
        """Start a new incarnation of a crashed engine."""
        await asyncio.sleep(self.rng.uniform(MIN_RETURN_S, MAX_RETURN_S))
        self.start_engine(engine.port, self.domain_by_port[engine.port])


@asynccontextmanager
async def async_run_fleet(
    folder: Path,
    seed: int,
    crashing_parts: frozenset[str] = frozenset(),
    *,
    gateways: int = 3,
    engines: int = 10,
    events_before_crash: int = 0,
) -> AsyncIterator[GatewayFleet]:
    """Run a registry, several gateways and engines in two failure domains."""
    async with async_run_deployment(folder, announce_interval_s=ANNOUNCE_INTERVAL_S) as deployment:
        prompts = CrashingPrompts(
            crashing_parts, lambda engine: fleet.schedule_return(engine), events_before_crash
        )
        fleet = GatewayFleet(deployment, random.Random(seed), prompts)
        try:
            await deployment.async_set_document(tenants=MEMBERS, services=_whole_model_services())
            for number in range(engines):
                fleet.start_engine(reserve_port(ADDRESS), f"d-{number % 2 + 1}")
            for _ in range(gateways):
                await fleet.async_add_node()
            await fleet.async_wait_for_engines(engines)
            yield fleet
        finally:
            await fleet.async_stop()


def _whole_model_services() -> list[dict[str, Any]]:
    """Return the services of the default document with an accelerator that holds all layers."""
    services: list[dict[str, Any]] = json.loads(make_document())["services"]
    services[1]["engine"]["kinds"] = [
        {"name": "large", "size-mb": 40.0, "pace": 1.0, "read-x": 1.0}
    ]
    return services
