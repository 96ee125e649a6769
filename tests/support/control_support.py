"""One control replica over a log in memory, and followers of it, for tests."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import grpc
from tornado.testing import bind_unused_port

from lagoonwing_control import (
    ControlService,
    ControlSettings,
    ControlStateMachine,
    OperatorToken,
)
from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import FailureDomainId, HostId, Incarnation
from lagoonwing_core.models import HostAddress
from lagoonwing_follower import ControlCoordinator, FollowerSettings
from lagoonwing_replication import LocalLog
from lagoonwing_rpc import operator_pb2_grpc
from lagoonwing_wire import ChannelServer, Identity

KEY = b"shared key of the tests"
TOKEN = "token-of-ana"
OPERATORS = (OperatorToken("ana", hashlib.sha256(TOKEN.encode()).hexdigest()),)
AUTHORIZED = (("authorization", f"Bearer {TOKEN}"),)


def unused_port() -> int:
    """Return a port on which nothing listens now."""
    sock, port = bind_unused_port()
    sock.close()
    return port


@dataclass
class Replica:
    """A running control replica."""

    service: ControlService
    log: LocalLog
    server: ChannelServer
    settings: ControlSettings

    @property
    def operator_address(self) -> str:
        """Address for operators."""
        return f"{self.settings.grpc_address}:{self.settings.grpc_port}"

    async def async_unload(self) -> None:
        """Stop the replica."""
        await self.service.async_unload()
        await self.log.async_unload()
        await self.server.async_unload()


async def async_start_replica(
    settings: ControlSettings | None = None, state_machine: ControlStateMachine | None = None
) -> Replica:
    """Start one replica on free ports."""
    settings = settings or make_settings()
    identity = Identity(settings.host_id, KEY)
    own = next(item for item in settings.replicas if item.host_id == settings.host_id)
    server = ChannelServer(identity, own.address, own.port)
    state_machine = state_machine or ControlStateMachine()
    log = LocalLog(state_machine, settings.host_id)
    service = ControlService(settings, identity, state_machine, log, server)
    await server.async_setup()
    await service.async_setup()
    await log.async_setup()
    return Replica(service, log, server, settings)


def make_settings(max_request_s: float = 900.0) -> ControlSettings:
    """Return settings of a single replica on free ports."""
    host_id = HostId("control-1")
    address = HostAddress(
        host_id=host_id,
        address="127.0.0.1",
        port=unused_port(),
        failure_domain=FailureDomainId("a"),
    )
    return ControlSettings(
        host_id=host_id,
        replicas=(address,),
        grpc_address="127.0.0.1",
        grpc_port=unused_port(),
        operators=OPERATORS,
        max_request_s=max_request_s,
    )


def make_follower(
    replicas: tuple[HostAddress, ...],
    host_id: str = "entry-1",
    data_folder: Path | None = None,
    incarnation: int = 1,
) -> ControlCoordinator:
    """Return a follower of replicas."""
    settings = FollowerSettings(replicas, Incarnation(incarnation), data_folder)
    return ControlCoordinator(settings, Identity(HostId(host_id), KEY), LoopClock())


@asynccontextmanager
async def operator_stub(address: str) -> AsyncIterator[operator_pb2_grpc.OperatorStub]:
    """Give a stub for one replica."""
    async with grpc.aio.insecure_channel(address) as channel:
        yield operator_pb2_grpc.OperatorStub(channel)


async def async_until(condition: Callable[[], bool], timeout: float = 10.0) -> None:
    """Wait until a condition holds; fails after the timeout."""
    for _ in range(int(timeout / 0.01)):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise TimeoutError("the condition did not come to hold")
