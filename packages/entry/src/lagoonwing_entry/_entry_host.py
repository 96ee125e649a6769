"""Everything of one entry host, put together."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import msgspec

from lagoonwing_core.clock import Clock
from lagoonwing_core.runtime import Component, Runtime
from lagoonwing_entry._announce_server import AnnounceServer
from lagoonwing_entry._attempts import AttemptRunner
from lagoonwing_entry._bounded_handler import BodyBudget
from lagoonwing_entry._caller_handlers import CallerContext
from lagoonwing_entry._caller_server import CallerServer
from lagoonwing_entry._claimed_calls import ServiceCaller
from lagoonwing_entry._control_shell import ControlShell
from lagoonwing_entry._directory import EndpointDirectory
from lagoonwing_entry._endpoint_reports import EndpointReports
from lagoonwing_entry._host_state import HostStateTable
from lagoonwing_entry._http_adapter import HttpEndpointAdapter
from lagoonwing_entry._membership_shell import MembershipShell
from lagoonwing_entry._request_runner import RequestRunner
from lagoonwing_entry._sharing_shell import SharingShell
from lagoonwing_entry._suspects import SuspectReporter
from lagoonwing_entry.adapter import EndpointAdapter
from lagoonwing_entry.diagnostics import EntryMetrics
from lagoonwing_entry.faults import FaultHook, NoFaults
from lagoonwing_entry.models import EntrySettings
from lagoonwing_entry.ports import ControlPort, MembershipPort, SchedulerPort
from lagoonwing_policy.sharing import SharingSystem
from lagoonwing_wire import ChannelServer, Identity


class EntryHost:
    """Component that serves callers between the follower and the endpoints.

    The follower and the channel server have lives of their own: register the follower before
    this component and the channel server after it.

    Args:
        settings: Settings of the host.
        identity: Identity towards the other entry hosts.
        clock: Clock of the event loop.
        scheduler: Decisions about requests.
        membership: Hosts and endpoint records.
        membership_decoder: Decoder of membership's messages.
        control: The follower.
        channels: Server on which other entry hosts push membership's messages.
        sharing: Division of capacity among entry hosts; without it each uses all of it.
        adapter: Calls to endpoints, if not by HTTP as the stand-ins speak it.
        faults: Hook for tests.
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
        self.state = HostStateTable(control)
        adapter = adapter or HttpEndpointAdapter(settings.adapter, clock)
        suspects = SuspectReporter(control, settings.control_timeout_s)
        attempts = AttemptRunner(adapter, scheduler, self.directory, suspects, self.metrics, clock)
        self.runner = RequestRunner(
            scheduler,
            attempts,
            self.directory,
            suspects,
            self.metrics,
            self.state,
            clock,
            settings.tick_s,
        )
        self._services = ServiceCaller(
            self.runner, control, faults or NoFaults(), clock, settings.claim_timeout_s
        )
        context = CallerContext(
            settings=settings,
            runner=self.runner,
            services=self._services,
            control=control,
            directory=self.directory,
            state=self.state,
            metrics=self.metrics,
            clock=clock,
            budget=BodyBudget(settings.caller.max_held_bytes),
        )
        self.callers = CallerServer(settings.caller, context)
        self.announcements = AnnounceServer(settings.announce, membership, clock)
        self.membership = MembershipShell(
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
        self.runner.refresh_records = self.membership.refresh_if_stale
        self.control = ControlShell(settings, control, scheduler, self.runner, self.state, clock)
        reports = EndpointReports(
            adapter, scheduler, self.directory, clock, settings.report_period_s
        )
        components: list[Component] = [
            adapter,
            self.runner,
            self.membership,
            reports,
            self.control,
        ]
        if sharing is not None:
            components.append(
                SharingShell(sharing, scheduler, membership, self.runner, identity, channels, clock)
            )
        components += [self.announcements, self.callers]
        self._runtime = Runtime(clock)
        for component in components:
            self._runtime.register(component)

    async def async_setup(self) -> None:
        """Start every part."""
        await self._runtime.async_setup()

    async def async_drain(self, grace_s: float) -> bool:
        """Take no new work and wait until what runs has ended.

        Args:
            grace_s: Longest wait, in seconds.

        Returns:
            Whether everything ended within the grace.
        """
        self.state.draining = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                await self.runner.async_wait_idle()
                await self._services.async_wait_idle()
        return self.runner.active_count == 0

    async def async_unload(self) -> None:
        """Stop every part."""
        self._services.close()
        await self._runtime.async_unload()
