"""Assembles the process of a gateway."""

from __future__ import annotations

import random
import time

from lagoonwing._addresses import split_listen_address
from lagoonwing._queue_policies import build_waiting_room_settings
from lagoonwing._seeds import SeedReader
from lagoonwing_catalog.messages import HandoverAddress
from lagoonwing_core.clock import LoopClock
from lagoonwing_core.diagnostics import MetricsServer
from lagoonwing_core.ids import FailureDomainId, HostId
from lagoonwing_core.runtime import Runtime
from lagoonwing_core.settings import HostSettings
from lagoonwing_gateway import Gateway, GatewaySettings, HandoverServer, RetryBudgetSettings
from lagoonwing_platform.dialect import PlatformDialect
from lagoonwing_platform.front_server import FrontServer
from lagoonwing_wire import Identity


class GatewayProcess:
    """Process of a gateway."""

    def __init__(self, runtime: Runtime, gateway: Gateway) -> None:
        self.runtime = runtime
        self._gateway = gateway

    async def async_drain(self) -> None:
        """Wait for running requests to finish, up to the configured grace period."""
        await self._gateway.async_drain()


def build_gateway(settings: HostSettings, key: bytes, file: str) -> GatewayProcess:
    """Return the process of a gateway.

    Args:
        settings: Validated settings with a `gateway` section.
        key: Key shared by all processes.
        file: Path of the settings file, whose seeds may change.
    """
    section = settings.gateway
    assert section is not None
    clock = LoopClock()
    identity = Identity(HostId(settings.host_id), key)
    gateway_settings = GatewaySettings(
        failure_domain=FailureDomainId(settings.failure_domain),
        read_seeds=SeedReader(file, settings).read,
        retry_budget=RetryBudgetSettings(
            section.retry_ratio, section.retry_slack, section.retry_window_s
        ),
        drain_grace_s=section.drain_grace_s,
        admission=build_waiting_room_settings(section),
        handover=HandoverAddress(settings.address, settings.peer_port),
    )
    dialect = PlatformDialect(lambda endpoint_id: gateway.endpoint_address(endpoint_id))
    rng = random.Random(time.time_ns())
    gateway = Gateway(gateway_settings, identity, dialect, clock, rng)
    runtime = Runtime(clock)
    runtime.register(gateway)
    listen_address = settings.peer_listen_address or settings.address
    runtime.register(
        HandoverServer(gateway, identity, HandoverAddress(listen_address, settings.peer_port))
    )
    runtime.register(
        FrontServer(
            gateway,
            split_listen_address(section.caller_listen),
            split_listen_address(section.ready_listen),
        )
    )
    runtime.register(MetricsServer(settings.address, section.metrics_port, gateway.collect_metrics))
    return GatewayProcess(runtime, gateway)
