"""Assembles the process of an entry host."""

from __future__ import annotations

import time
from pathlib import Path

import msgspec

from lagoonwing._addresses import own_address, peer_address, replica_addresses
from lagoonwing._policies import build_scheduler_settings, build_sharing_system
from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import FailureDomainId, HostId, Incarnation
from lagoonwing_core.runtime import Runtime
from lagoonwing_core.settings import EntrySettings as EntrySection
from lagoonwing_core.settings import HostSettings
from lagoonwing_entry import (
    AnnounceServerSettings,
    CallerServerSettings,
    EntryHost,
    EntrySettings,
)
from lagoonwing_follower import ControlCoordinator, FollowerSettings
from lagoonwing_membership import Membership, MembershipMessage
from lagoonwing_policy import Scheduler
from lagoonwing_wire import ChannelServer, Identity


class EntryProcess:
    """Process of an entry host."""

    def __init__(self, runtime: Runtime, entry: EntryHost, drain_grace_s: float) -> None:
        self.runtime = runtime
        self._entry = entry
        self._drain_grace_s = drain_grace_s

    async def async_drain(self) -> None:
        """Wait for running requests to finish, up to the configured grace period."""
        await self._entry.async_drain(self._drain_grace_s)


def build_entry(settings: HostSettings, key: bytes) -> EntryProcess:
    """Return the process of an entry host.

    Args:
        settings: Validated settings with an `entry` section.
        key: Key shared by all processes.
    """
    section = settings.entry
    assert section is not None
    clock = LoopClock()
    incarnation = Incarnation(time.time_ns() // 1_000_000)
    identity = Identity(HostId(settings.host_id), key)
    channels = ChannelServer(
        identity, settings.peer_listen_address or settings.address, settings.peer_port
    )
    follower = ControlCoordinator(_follower_settings(settings, incarnation), identity, clock)
    membership = Membership(
        own_address(settings), incarnation, map(peer_address, section.peers), seed=incarnation
    )
    entry = EntryHost(
        _entry_settings(settings, section, incarnation),
        identity,
        clock,
        Scheduler(build_scheduler_settings(section), seed=incarnation),
        membership,
        msgspec.msgpack.Decoder(MembershipMessage),
        follower,
        channels,
        build_sharing_system(settings),
    )
    runtime = Runtime(clock)
    runtime.register(follower)
    runtime.register(entry)
    runtime.register(channels)
    return EntryProcess(runtime, entry, section.drain_grace_s)


def _follower_settings(settings: HostSettings, incarnation: Incarnation) -> FollowerSettings:
    """Return the settings of the follower."""
    folder = Path(settings.data_folder) if settings.data_folder is not None else None
    return FollowerSettings(
        replicas=replica_addresses(settings),
        incarnation=incarnation,
        data_folder=folder,
        seed=incarnation,
    )


def _entry_settings(
    settings: HostSettings, section: EntrySection, incarnation: Incarnation
) -> EntrySettings:
    """Return the settings of the entry host's components."""
    return EntrySettings(
        host_id=HostId(settings.host_id),
        failure_domain=FailureDomainId(settings.failure_domain),
        incarnation=incarnation,
        caller=CallerServerSettings(
            address=settings.address,
            port=section.caller_port,
            max_body_bytes=section.max_body_bytes,
            default_deadline_s=section.request_timeout_s,
            max_deadline_s=section.request_timeout_s,
        ),
        announce=AnnounceServerSettings(
            address=settings.address,
            port=section.announce_port,
            key_hashes=frozenset(section.endpoint_key_hashes),
        ),
    )
