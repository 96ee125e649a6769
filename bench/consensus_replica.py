"""Replica process for `bench.consensus_bench`."""

from __future__ import annotations

import asyncio
import resource
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
from absl import logging

from lagoonwing_core.ids import HostId, LogIndex
from lagoonwing_replication import LogSettings, RaftLog, ReplicaHost
from lagoonwing_wire import BYTE_COUNTERS, Channel, ChannelServer, Handlers, Identity

PROTOCOL = "bench"
KEY = b"bench"
PROPOSE_TIMEOUT_S = 5.0
KEYS = 1000


class Propose(msgspec.Struct, frozen=True, tag="propose"):
    """Request to propose a command."""

    command: bytes


class Proposed(msgspec.Struct, frozen=True, tag="proposed"):
    """Response to a proposal: 0 if accepted, else the result code."""

    code: int


class GetReport(msgspec.Struct, frozen=True, tag="ask"):
    """Request for the state and counters of a replica."""


class ReplicaReport(msgspec.Struct, frozen=True, kw_only=True, tag="report"):
    """State and counters of a replica process."""

    leads: bool
    applied: int
    voters: tuple[str, ...]
    syncs: int
    bytes_sent: int
    bytes_received: int
    cpu_s: float
    memory_bytes: int


Message = Propose | Proposed | GetReport | ReplicaReport


class ReplicaPlan(msgspec.Struct, frozen=True):
    """Settings of a replica process; `hosts` has id, address, port and voter flag of each."""

    host_id: str
    folder: str
    hosts: tuple[tuple[str, str, int, bool], ...]


class KeyValueStateMachine:
    """State machine that stores each command under one of `KEYS` keys."""

    def __init__(self) -> None:
        self._value_by_key: dict[int, bytes] = {}

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Store a command."""
        self._value_by_key[index % KEYS] = command
        return b""

    def snapshot(self) -> bytes:
        """Encode all keys."""
        return msgspec.msgpack.encode(self._value_by_key)

    def restore(self, snapshot: bytes) -> None:
        """Replace all keys."""
        self._value_by_key = msgspec.msgpack.decode(snapshot, type=dict[int, bytes])


async def async_main(plan: ReplicaPlan) -> None:
    """Run the replica until the process is killed."""
    hosts = tuple(ReplicaHost(HostId(host), *rest) for host, *rest in plan.hosts)
    settings = LogSettings(HostId(plan.host_id), Path(plan.folder), hosts)
    identity = Identity(settings.host_id, KEY)
    server = ChannelServer(identity, settings.local_host.address, settings.local_host.port)
    log = RaftLog(settings, KeyValueStateMachine(), identity, server)

    async def async_on_call(channel: Channel[Any], message: Message) -> Message:
        if isinstance(message, Propose):
            result = await log.async_propose(message.command, PROPOSE_TIMEOUT_S)
            return Proposed(0 if result.is_ok() else result.error.code.value)
        status = log.status()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return ReplicaReport(
            leads=log.lease_term() is not None,
            applied=status.applied_index,
            voters=tuple(voter.host_id for voter in status.voters),
            syncs=log.sync_count,
            bytes_sent=BYTE_COUNTERS.sent,
            bytes_received=BYTE_COUNTERS.received,
            cpu_s=time.process_time(),
            memory_bytes=usage.ru_maxrss * 1024,
        )

    handlers: Handlers[Message] = Handlers(
        decoder=msgspec.msgpack.Decoder(Message),
        on_push=lambda channel, message: None,
        async_on_call=async_on_call,
        on_closed=lambda channel: None,
    )
    server.register(PROTOCOL, handlers)
    await server.async_setup()
    await log.async_setup()
    await asyncio.Event().wait()


if __name__ == "__main__":
    logging.set_verbosity(logging.INFO if "--verbose" in sys.argv else logging.ERROR)
    asyncio.run(async_main(msgspec.json.decode(sys.argv[1], type=ReplicaPlan)))
