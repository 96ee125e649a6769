"""Assembles the process of a control replica."""

from __future__ import annotations

from pathlib import Path

from lagoonwing._addresses import replica_addresses
from lagoonwing_control import (
    ControlService,
    ControlSettings,
    ControlStateMachine,
    OperatorToken,
)
from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import HostId
from lagoonwing_core.runtime import Runtime
from lagoonwing_core.settings import ControlSettings as ControlSection
from lagoonwing_core.settings import HostSettings, ReplicaKind
from lagoonwing_replication import LogSettings, RaftLog, ReplicaHost
from lagoonwing_wire import ChannelServer, Identity

LOG_FOLDER = "log"


class ControlProcess:
    """Process of a control replica."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime

    async def async_drain(self) -> None:
        """Return immediately: operators resend a change whose reply was lost."""


def build_control(settings: HostSettings, key: bytes) -> ControlProcess:
    """Return the process of a control replica.

    Args:
        settings: Validated settings with a `control` section.
        key: Key shared by all processes.
    """
    section = settings.control
    assert section is not None
    clock = LoopClock()
    identity = Identity(HostId(settings.host_id), key)
    server = ChannelServer(
        identity, settings.peer_listen_address or settings.address, settings.peer_port
    )
    state_machine = ControlStateMachine()
    log = RaftLog(_log_settings(settings), state_machine, identity, server)
    control = ControlService(
        _control_settings(settings, section), identity, state_machine, log, server, clock
    )
    runtime = Runtime(clock)
    runtime.register(server)
    runtime.register(control)
    runtime.register(log)
    return ControlProcess(runtime)


def _log_settings(settings: HostSettings) -> LogSettings:
    """Return the settings of the replicated log."""
    # Settings validation rejects a control replica without a data folder.
    assert settings.data_folder is not None
    return LogSettings(
        host_id=HostId(settings.host_id),
        folder=Path(settings.data_folder) / LOG_FOLDER,
        initial_hosts=tuple(
            ReplicaHost(
                host_id=HostId(replica.host_id),
                address=replica.address,
                port=replica.port,
                is_voter=replica.starts_as is ReplicaKind.VOTER,
            )
            for replica in settings.replicas
        ),
    )


def _control_settings(settings: HostSettings, section: ControlSection) -> ControlSettings:
    """Return the settings of the control service."""
    return ControlSettings(
        host_id=HostId(settings.host_id),
        replicas=replica_addresses(settings),
        grpc_address=settings.address,
        grpc_port=section.operator_port,
        operators=tuple(
            OperatorToken(operator.name, operator.key_hash) for operator in section.operators
        ),
        metrics_port=section.metrics_port,
    )
