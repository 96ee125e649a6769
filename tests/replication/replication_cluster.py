"""Cluster of replicas with real folders and connections in one event loop."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
from ports import reserve_port

from lagoonwing_consensus import CoreSettings
from lagoonwing_core.ids import HostId, LogIndex
from lagoonwing_replication import LogSettings, RaftLog, ReplicaHost
from lagoonwing_replication.const import PROTOCOL_NAME
from lagoonwing_replication.messages import PeerMessage
from lagoonwing_wire import Channel, ChannelServer, Handlers, Identity, async_connect

CORE = CoreSettings(
    heartbeat_s=0.05,
    election_min_s=0.3,
    election_max_s=0.5,
    election_retry_min_s=0.05,
    election_retry_max_s=0.2,
    voter_lost_s=0.8,
    learner_lag_entries=4,
)
WAIT_S = 20.0
POLL_S = 0.02


class ListMachine:
    """State machine that stores every command."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Store a command and return the number of commands."""
        self.commands.append(command)
        return str(len(self.commands)).encode()

    def snapshot(self) -> bytes:
        """Return all commands."""
        return msgspec.msgpack.encode(self.commands)

    def restore(self, snapshot: bytes) -> None:
        """Replace all commands."""
        self.commands = msgspec.msgpack.decode(snapshot, type=list[bytes])


class Host:
    """One replica with its server, which can be stopped and started."""

    def __init__(self, settings: LogSettings) -> None:
        self.settings = settings
        self.machine = ListMachine()
        self.log: RaftLog | None = None
        self._server: ChannelServer | None = None

    async def async_start(self) -> None:
        """Start the replica with an empty state machine."""
        own = self.settings.local_host
        identity = Identity(own.host_id, b"key")
        self.machine = ListMachine()
        server = ChannelServer(identity, own.address, own.port)
        self.log = RaftLog(self.settings, self.machine, identity, server)
        await server.async_setup()
        self._server = server
        await self.log.async_setup()

    async def async_stop(self) -> None:
        """Stop the replica."""
        log, server = self.log, self._server
        self.log, self._server = None, None
        if log is not None and server is not None:
            await log.async_unload()
            await server.async_unload()

    def wipe(self) -> None:
        """Empty the folder."""
        shutil.rmtree(self.settings.folder)


class Cluster:
    """Hosts that replicate one log."""

    def __init__(
        self,
        folder: Path,
        voters: int,
        learners: int = 0,
        core: CoreSettings = CORE,
        **options: int,
    ) -> None:
        hosts: list[ReplicaHost] = []
        for number in range(voters + learners):
            address = f"127.0.0.{number + 11}"
            port = reserve_port(address)
            host_id = HostId(f"host-{number}")
            hosts.append(ReplicaHost(host_id, address, port, number < voters))
        self.host_by_id = {
            host.host_id: Host(
                LogSettings(host.host_id, folder / host.host_id, tuple(hosts), core=core, **options)
            )
            for host in hosts
        }

    async def async_start(self) -> None:
        """Start every host."""
        await asyncio.gather(*(host.async_start() for host in self.host_by_id.values()))

    async def async_stop(self) -> None:
        """Stop every host."""
        await asyncio.gather(*(host.async_stop() for host in self.host_by_id.values()))

    def leader(self) -> Host | None:
        """Return the host with a valid leader lease."""
        for host in self.host_by_id.values():
            if host.log is not None and host.log.lease_term() is not None:
                return host
        return None

    async def async_leader(self) -> Host:
        """Wait for a leader."""
        await async_until(lambda: self.leader() is not None)
        leader = self.leader()
        return leader or await self.async_leader()

    async def async_propose(self, command: bytes) -> bytes:
        """Propose a command to the current leader until it is committed.

        A command may be committed twice if the leader changes meanwhile.
        """
        async with asyncio.timeout(WAIT_S):
            while True:
                leader = await self.async_leader()
                if leader.log is not None:
                    result = await leader.log.async_propose(command, 1.0)
                    if result.is_ok():
                        return result.ok

    async def async_until_equal(self) -> list[bytes]:
        """Wait until all running hosts have the same state, and return it."""

        def is_equal() -> bool:
            running = [host for host in self.host_by_id.values() if host.log is not None]
            states = [host.machine.commands for host in running]
            applied = {host.log.status().applied_index for host in running if host.log is not None}
            return len(applied) == 1 and all(state == states[0] for state in states)

        await async_until(is_equal)
        return next(
            host.machine.commands for host in self.host_by_id.values() if host.log is not None
        )


@asynccontextmanager
async def async_open_channel(host: Host) -> AsyncIterator[Channel[Any]]:
    """Open a channel to a host from a process that is not a replica."""
    own = host.settings.local_host
    handlers: Handlers[Any] = Handlers(
        decoder=msgspec.msgpack.Decoder(PeerMessage),
        on_push=lambda channel, message: None,
        async_on_call=lambda channel, message: asyncio.sleep(0, message),
        on_closed=lambda channel: None,
    )
    identity = Identity(HostId("outsider"), b"key")
    result = await async_connect(identity, own.address, own.port, PROTOCOL_NAME, handlers)
    channel = result.ok
    run = asyncio.create_task(channel.async_run())
    yield channel
    channel.close()
    await run


async def async_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_S):
        # Conditions inspect several replicas, which have no event in common.
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
