"""Helpers to run control replicas and followers in tests."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import os
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import grpc
from ports import reserve_port
from shared_log import SharedLog, SharedLogReplica

from lagoonwing_control import (
    ControlService,
    ControlSettings,
    ControlStateMachine,
    OperatorToken,
)
from lagoonwing_core.clock import Clock, LoopClock
from lagoonwing_core.ids import FailureDomainId, HostId, Incarnation
from lagoonwing_core.models import HostAddress
from lagoonwing_core.runtime import Component
from lagoonwing_follower import ControlCoordinator, FollowerSettings
from lagoonwing_replication import (
    LocalLog,
    LogSettings,
    RaftLog,
    ReplicaHost,
    ReplicatedLog,
)
from lagoonwing_rpc import operator_pb2_grpc
from lagoonwing_wire import ChannelServer, Identity

KEY = b"shared key of the tests"
TOKEN = "token-of-ana"
OPERATORS = (OperatorToken("ana", hashlib.sha256(TOKEN.encode()).hexdigest()),)
AUTHORIZED = (("authorization", f"Bearer {TOKEN}"),)


# Below the kernel's ephemeral port range, so that no outgoing connection holds them.
PEER_PORT = 7402
OPERATOR_PORT = 7400

_numbers = itertools.count(1)


def unused_address() -> str:
    """Return a loopback address derived from the process id, unique among parallel tests."""
    number = next(_numbers)
    process = os.getpid()
    return f"127.{64 + process // 256 % 128}.{process % 256}.{1 + number % 250}"


@dataclass
class Replica:
    """A running control replica."""

    service: ControlService
    log: ReplicatedLog
    server: ChannelServer
    settings: ControlSettings

    @property
    def operator_address(self) -> str:
        """Address of the operator API."""
        return f"{self.settings.grpc_address}:{self.settings.grpc_port}"

    async def async_unload(self) -> None:
        """Stop the replica."""
        await self.service.async_unload()
        await self.log.async_unload()
        await self.server.async_unload()


async def async_start_replica(
    settings: ControlSettings | None = None,
    state_machine: ControlStateMachine | None = None,
    shared: SharedLog | None = None,
    folder: Path | None = None,
) -> Replica:
    """Start one replica on free ports."""
    settings = settings or make_settings()[0]
    identity = Identity(settings.host_id, KEY)
    own = next(item for item in settings.replicas if item.host_id == settings.host_id)
    server = ChannelServer(identity, own.address, own.port)
    state_machine = state_machine or ControlStateMachine()
    log: ReplicatedLog
    if shared is not None:
        log = SharedLogReplica(shared, settings.host_id, state_machine)
    elif folder is not None:
        log = RaftLog(_log_settings(settings, folder), state_machine, identity, server)
    else:
        log = LocalLog(state_machine, settings.host_id)
    service = ControlService(settings, identity, state_machine, log, server)
    await server.async_setup()
    await service.async_setup()
    await log.async_setup()
    return Replica(service, log, server, settings)


def _log_settings(settings: ControlSettings, folder: Path) -> LogSettings:
    """Return the log settings of a replica on disk; every replica is a voter."""
    hosts = tuple(
        ReplicaHost(item.host_id, item.address, item.port, is_voter=True)
        for item in settings.replicas
    )
    return LogSettings(settings.host_id, folder / settings.host_id, hosts)


def make_settings(count: int = 1, max_request_s: float = 900.0) -> list[ControlSettings]:
    """Return settings of replicas on 127.0.0.1, spread over failure domains."""
    addresses = [_host_address(number, "127.0.0.1", reserve_port()) for number in range(count)]
    return [
        _control_settings(address, tuple(addresses), reserve_port(), max_request_s)
        for address in addresses
    ]


def make_settings_at(ip_addresses: list[str]) -> list[ControlSettings]:
    """Return settings of replicas on separate IP addresses with the same ports."""
    addresses = [
        _host_address(number, ip_address, PEER_PORT)
        for number, ip_address in enumerate(ip_addresses)
    ]
    return [
        _control_settings(address, tuple(addresses), OPERATOR_PORT, 900.0) for address in addresses
    ]


def _host_address(number: int, address: str, port: int) -> HostAddress:
    """Return the address of one replica."""
    return HostAddress(
        host_id=HostId(f"control-{number + 1}"),
        address=address,
        port=port,
        failure_domain=FailureDomainId("abc"[number % 3]),
    )


def _control_settings(
    own: HostAddress, replicas: tuple[HostAddress, ...], operator_port: int, max_request_s: float
) -> ControlSettings:
    """Return the settings of one replica."""
    return ControlSettings(
        host_id=own.host_id,
        replicas=replicas,
        grpc_address=own.address,
        grpc_port=operator_port,
        operators=OPERATORS,
        max_request_s=max_request_s,
    )


@asynccontextmanager
async def run_replicas(
    count: int, max_request_s: float = 900.0
) -> AsyncIterator[tuple[SharedLog, list[Replica]]]:
    """Run replicas on a shared log, with the first one as leader."""
    settings = make_settings(count, max_request_s)
    shared = SharedLog(settings[0].replicas)
    replicas = [await async_start_replica(item, shared=shared) for item in settings]
    shared.set_leader(replicas[0].settings.host_id)
    try:
        yield shared, replicas
    finally:
        for replica in replicas:
            await replica.async_unload()


@asynccontextmanager
async def run_component(component: Component) -> AsyncIterator[None]:
    """Run a component for the duration of the context."""
    await component.async_setup()
    try:
        yield
    finally:
        await component.async_unload()


def make_follower(
    replicas: tuple[HostAddress, ...],
    host_id: str = "entry-1",
    data_folder: Path | None = None,
    incarnation: int = 1,
    clock: Clock | None = None,
) -> ControlCoordinator:
    """Return a follower of the given replicas."""
    settings = FollowerSettings(replicas, Incarnation(incarnation), data_folder)
    return ControlCoordinator(settings, Identity(HostId(host_id), KEY), clock or LoopClock())


@asynccontextmanager
async def operator_stub(address: str) -> AsyncIterator[operator_pb2_grpc.OperatorStub]:
    """Provide an operator API stub for one replica."""
    async with grpc.aio.insecure_channel(address) as channel:
        yield operator_pb2_grpc.OperatorStub(channel)


async def async_until(condition: Callable[[], bool], timeout: float = 10.0) -> None:
    """Wait until a condition holds; raise `TimeoutError` after the timeout."""
    for _ in range(int(timeout / 0.01)):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise TimeoutError("condition not met within the timeout")
