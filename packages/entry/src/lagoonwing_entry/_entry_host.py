"""Assembles the components of an entry host."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import msgspec

from lagoonwing_core.clock import Clock
from lagoonwing_core.runtime import Component, Runtime
from lagoonwing_entry._announce_server import AnnounceServer
from lagoonwing_entry._attempts import AttemptRunner
from lagoonwing_entry._caller_handlers import CallerContext
from lagoonwing_entry._caller_server import CallerServer
from lagoonwing_entry._capacity_sharing import CapacitySharing
from lagoonwing_entry._control_sync import ControlSync
from lagoonwing_entry._directory import EndpointDirectory
from lagoonwing_entry._endpoint_poller import EndpointPoller
from lagoonwing_entry._host_readiness import HostReadiness
from lagoonwing_entry._http_adapter import HttpEndpointAdapter
from lagoonwing_entry._membership_service import MembershipService
from lagoonwing_entry._request_runner import RequestRunner
from lagoonwing_entry._service_calls import ServiceCaller
from lagoonwing_entry._suspects import SuspectReporter
from lagoonwing_entry.adapter import EndpointAdapter
from lagoonwing_entry.diagnostics import EntryMetrics
from lagoonwing_entry.faults import FaultHook, NoFaultHook
from lagoonwing_entry.models import EntrySettings
from lagoonwing_entry.ports import ControlPort, MembershipPort, SchedulerPort
from lagoonwing_http import BodyBudget
from lagoonwing_policy.sharing import SharingSystem
from lagoonwing_wire import ChannelServer, Identity


class EntryHost:
    """Component that accepts requests from callers and dispatches them to endpoints.

    The follower and the channel server are managed separately: register the follower before
    this component and the channel server after it.

    Args:
        settings: Settings of the host.
        identity: Identity used with other entry hosts.
        clock: Clock of the event loop.
        scheduler: Scheduler of requests.
        membership: Membership of hosts and endpoints.
        membership_decoder: Decoder of membership messages.
        control: The follower.
        channels: Server for messages from other entry hosts.
        sharing: Capacity sharing among entry hosts; without it, each host uses the full capacity.
        adapter: Adapter for requests to endpoints; HTTP by default.
        faults: Fault injection hook for tests.
    """

    name = "entry_host"

    def __init__(
        self,
        settings: EntrySettings,
        identity: Identity,
        clock: Clock,
        scheduler: SchedulerPort,
        membership: MembershipPort,
        membership_decoder: msgspec.msgpack.Decoder[Any],
        control: ControlPort,
        channels: ChannelServer | None = None,
        sharing: SharingSystem | None = None,
        adapter: EndpointAdapter | None = None,
        faults: FaultHook | None = None,
    ) -> None:
        self.settings = settings
        self.directory = EndpointDirectory()
        self.metrics = EntryMetrics()
        self.readiness = HostReadiness(control)
        adapter = adapter or HttpEndpointAdapter(settings.adapter, clock)
        self.runner = self._make_runner(adapter, scheduler, control, clock)
        self._services = ServiceCaller(
            self.runner, control, faults or NoFaultHook(), clock, settings.claim_timeout_s
        )
        self.caller_server = self._make_caller_server(control, clock)
        self.announce_server = AnnounceServer(settings.announce, membership, clock)
        self.membership_service = MembershipService(
            membership,
            membership_decoder,
            scheduler,
            self.directory,
            control,
            identity,
            channels,
            clock,
            settings.membership_tick_s,
        )
        self.runner.refresh_records = self.membership_service.refresh_if_stale
        self.control_sync = ControlSync(
            settings, control, scheduler, self.runner, self.readiness, clock
        )
        endpoint_poller = EndpointPoller(
            adapter, scheduler, self.directory, clock, settings.report_period_s
        )
        components: list[Component] = [
            adapter,
            self.runner,
            self.membership_service,
            endpoint_poller,
            self.control_sync,
        ]
        if sharing is not None:
            components.append(
                CapacitySharing(
                    sharing, scheduler, membership, self.runner, identity, channels, clock
                )
            )
        components += [self.announce_server, self.caller_server]
        self._runtime = Runtime(clock)
        for component in components:
            self._runtime.register(component)

    def _make_runner(
        self,
        adapter: EndpointAdapter,
        scheduler: SchedulerPort,
        control: ControlPort,
        clock: Clock,
    ) -> RequestRunner:
        """Return the component that runs the attempts of requests."""
        suspects = SuspectReporter(control, self.settings.control_timeout_s)
        attempts = AttemptRunner(adapter, scheduler, self.directory, suspects, self.metrics, clock)
        return RequestRunner(
            scheduler,
            attempts,
            self.directory,
            suspects,
            self.metrics,
            self.readiness,
            clock,
            self.settings.tick_s,
        )

    def _make_caller_server(self, control: ControlPort, clock: Clock) -> CallerServer:
        """Return the server for requests from callers."""
        caller = self.settings.caller
        context = CallerContext(
            settings=self.settings,
            runner=self.runner,
            services=self._services,
            control=control,
            directory=self.directory,
            readiness=self.readiness,
            metrics=self.metrics,
            clock=clock,
            budget=BodyBudget(caller.max_buffered_bytes),
        )
        return CallerServer(caller, context)

    async def async_setup(self) -> None:
        """Start all components."""
        await self._runtime.async_setup()

    async def async_drain(self, grace_s: float) -> bool:
        """Refuse new work and wait for running requests to end.

        Args:
            grace_s: Maximum wait, in seconds.

        Returns:
            Whether all requests ended within the grace period.
        """
        self.readiness.draining = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                await self.runner.async_wait_idle()
                await self._services.async_wait_idle()
        return self.runner.active_count == 0

    async def async_unload(self) -> None:
        """Stop all components."""
        self._services.close()
        await self._runtime.async_unload()
