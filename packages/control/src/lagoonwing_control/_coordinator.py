"""Control service: serves the state to operators, entry hosts and other replicas."""

from __future__ import annotations

import asyncio
import time

from lagoonwing_control._components import ReplicaComponents
from lagoonwing_control._leader import Leader
from lagoonwing_control._operator_server import OperatorServer
from lagoonwing_control._peers import PeerProtocol
from lagoonwing_control._proposer import Proposer
from lagoonwing_control._reads import LinearizableReads
from lagoonwing_control._state_machine import ControlStateMachine
from lagoonwing_control._watchers import Watchers
from lagoonwing_control.const import TICK_INTERVAL_S
from lagoonwing_control.diagnostics import ControlMetrics
from lagoonwing_control.settings import ControlSettings
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock, LoopClock
from lagoonwing_core.diagnostics import MetricsServer
from lagoonwing_core.ids import HostId, Term
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_replication import ReplicatedLog
from lagoonwing_wire import ChannelServer, Identity, Link, outbound_only_handlers
from lagoonwing_wire.control_messages import CONTROL_DECODER, PROTOCOL, Refused

_CALLS_NOT_SERVED = Refused(ResultCode.MESSAGE_INVALID, "calls are not served on this channel")


class ControlService:
    """One control replica; the log and the channel server are separate components.

    Register it after the channel server and before the log, so that it is notified of the first
    term.
    """

    name = "control"

    def __init__(
        self,
        settings: ControlSettings,
        identity: Identity,
        state_machine: ControlStateMachine,
        log: ReplicatedLog,
        server: ChannelServer,
        clock: Clock | None = None,
    ) -> None:
        self.lost_hosts: set[HostId] = set()
        self.state_machine = state_machine
        self.log = log
        self._clock = clock or LoopClock()
        handlers = outbound_only_handlers(CONTROL_DECODER, _CALLS_NOT_SERVED)
        self._link_by_host = {
            replica.host_id: Link(identity, replica.address, replica.port, PROTOCOL, handlers)
            for replica in settings.replicas
            if replica.host_id != settings.host_id
        }
        self.watchers = Watchers(state_machine)
        self.leader = Leader(settings, state_machine, log, self._clock, self.lost_hosts)
        self.proposer = Proposer(log, self._link_by_host, wall_clock_ms, self.leader.check_stop)
        self.reads = LinearizableReads(log, state_machine, self.watchers, self._link_by_host)
        components = ReplicaComponents(
            state_machine,
            log,
            self.leader,
            self.proposer,
            self.reads,
            self.watchers,
            self.lost_hosts,
        )
        peers = PeerProtocol(settings.host_id, components, self._link_by_host)
        server.register(PROTOCOL, peers.handlers())
        self._operator_server = OperatorServer(settings, components, self._clock)
        self._metrics_server = _make_metrics_server(settings, components, self._clock)
        self._tick_task: asyncio.Task[None] | None = None
        state_machine.on_applied = self.watchers.schedule_push
        log.on_leadership_change = self._on_leadership

    async def async_setup(self) -> None:
        """Connect to the other replicas and start serving."""
        for link in self._link_by_host.values():
            await link.async_setup()
        self._tick_task = asyncio.get_running_loop().create_task(self._async_tick())
        await self._operator_server.async_setup()
        if self._metrics_server is not None:
            await self._metrics_server.async_setup()

    async def async_unload(self) -> None:
        """Stop serving and cancel pending work."""
        if self._metrics_server is not None:
            await self._metrics_server.async_unload()
        await self._operator_server.async_unload()
        if self._tick_task is not None:
            self._tick_task.cancel()
        await self.leader.async_unload()
        await self.proposer.async_unload()
        for link in self._link_by_host.values():
            await link.async_unload()

    @callback
    def _on_leadership(self, term: Term | None) -> None:
        """Start or end a term as leader."""
        self.leader.leadership_changed(term)

    async def _async_tick(self) -> None:
        """Run the leader's periodic work."""
        while True:
            self.leader.tick(self.proposer)
            await asyncio.sleep(TICK_INTERVAL_S)


def _make_metrics_server(
    settings: ControlSettings, components: ReplicaComponents, clock: Clock
) -> MetricsServer | None:
    """Return the server of the metrics, if a port is configured for it."""
    if settings.metrics_port is None:
        return None
    metrics = ControlMetrics(settings, components, clock)
    return MetricsServer(
        settings.grpc_address, settings.metrics_port, metrics.collect, metrics.why_not_ready
    )


def wall_clock_ms() -> int:
    """Return the time since the epoch in milliseconds."""
    return time.time_ns() // 1_000_000
