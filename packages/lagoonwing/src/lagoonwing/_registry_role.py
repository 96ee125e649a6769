"""Assembles the process of a registry replica."""

from __future__ import annotations

from pathlib import Path

from lagoonwing._addresses import seed_addresses, split_listen_address
from lagoonwing._seeds import SeedReader
from lagoonwing_catalog import CatalogStateMachine
from lagoonwing_catalog.messages import ReplicaAddress
from lagoonwing_consensus import CoreSettings
from lagoonwing_core.clock import LoopClock
from lagoonwing_core.diagnostics import MetricsServer
from lagoonwing_core.ids import FailureDomainId, HostId
from lagoonwing_core.runtime import Runtime
from lagoonwing_core.settings import HostSettings
from lagoonwing_core.settings import RegistrySettings as RegistrySection
from lagoonwing_platform.control_server import ControlServer
from lagoonwing_platform.engine_client import EngineClient
from lagoonwing_registry import RegistryService, RegistrySettings
from lagoonwing_replication import LogSettings, RaftLog, ReplicaHost
from lagoonwing_wire import ChannelServer, Identity

LOG_FOLDER = "log"
# Round trips between replicas take less than 1 ms, so shorter timeouts detect a lost leader sooner.
HEARTBEAT_S = 0.12
ELECTION_MIN_S = 0.55
ELECTION_MAX_S = 0.85


class RegistryProcess:
    """Process of one catalog replica."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime

    async def async_drain(self) -> None:
        """Return immediately: callers fail over to another replica."""


def build_registry(settings: HostSettings, key: bytes, file: str) -> RegistryProcess:
    """Return the process of one catalog replica.

    Args:
        settings: Validated settings with a `registry` section.
        key: Key shared by all processes.
        file: Path of the settings file, whose seeds may change.
    """
    section = settings.registry
    assert section is not None
    clock = LoopClock()
    # Hosts do not know each other's names, so a replica's host is identified by its address.
    host_id = HostId(settings.address)
    identity = Identity(host_id, key)
    server = ChannelServer(
        identity, settings.peer_listen_address or settings.address, settings.peer_port
    )
    state_machine = CatalogStateMachine()
    log = RaftLog(_log_settings(settings, section, host_id, file), state_machine, identity, server)
    registry = RegistryService(
        RegistrySettings(
            host_id=host_id,
            failure_domain=FailureDomainId(settings.failure_domain),
            address=settings.address,
            peer_port=settings.peer_port,
            announce_interval_s=section.announce_interval_ms / 1_000,
        ),
        identity,
        state_machine,
        log,
        server,
        EngineClient(),
        clock,
    )
    address, port = split_listen_address(section.control_listen)
    runtime = Runtime(clock)
    runtime.register(server)
    runtime.register(registry)
    runtime.register(log)
    runtime.register(ControlServer(registry, address, port))
    runtime.register(
        MetricsServer(settings.address, section.metrics_port, registry.metrics.collect)
    )
    return RegistryProcess(runtime)


def _log_settings(
    settings: HostSettings, section: RegistrySection, host_id: HostId, file: str
) -> LogSettings:
    """Return the settings of the replicated log; its initial hosts are the seeds of the start."""
    # Settings validation rejects a registry without a data folder.
    assert settings.data_folder is not None
    seeds = SeedReader(file, settings)
    own = ReplicaHost(host_id, settings.address, settings.peer_port, is_voter=True)
    return LogSettings(
        host_id=host_id,
        folder=Path(settings.data_folder) / LOG_FOLDER,
        initial_hosts=_replica_hosts(seed_addresses(settings)),
        read_seeds=lambda: _replica_hosts(seeds.read()),
        joining_host=own,
        may_bootstrap=section.may_found,
        core=CoreSettings(
            heartbeat_s=HEARTBEAT_S,
            election_min_s=ELECTION_MIN_S,
            election_max_s=ELECTION_MAX_S,
            voter_count=2 * section.tolerated_losses + 1,
        ),
    )


def _replica_hosts(seeds: tuple[ReplicaAddress, ...]) -> tuple[ReplicaHost, ...]:
    """Return seeds as hosts of the log; any of them may be a voter."""
    return tuple(
        ReplicaHost(seed.host_id, seed.address, seed.port, is_voter=True) for seed in seeds
    )
