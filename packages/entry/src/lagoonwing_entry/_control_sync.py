"""Syncs replicated state to the scheduler, requests allotments and reports on planned stops."""

from __future__ import annotations

from collections.abc import Callable

from expression import Result

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.models import PlannedStop, StopState, StopTarget
from lagoonwing_entry._host_readiness import HostReadiness
from lagoonwing_entry._periodic_task import PeriodicTask
from lagoonwing_entry._request_runner import RequestRunner
from lagoonwing_entry.models import EntrySettings
from lagoonwing_entry.ports import ControlPort, SchedulerPort


class ControlSync:
    """Connects the follower to the scheduler."""

    name = "control_shell"

    def __init__(
        self,
        settings: EntrySettings,
        control: ControlPort,
        scheduler: SchedulerPort,
        runner: RequestRunner,
        readiness: HostReadiness,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._control = control
        self._scheduler = scheduler
        self._runner = runner
        self._readiness = readiness
        self._clock = clock
        self._remove_listener: Callable[[], None] = lambda: None
        self._allotments = PeriodicTask(
            "allotments", self._async_request_allotments, settings.allotment_period_s
        )
        self._stop_reports = PeriodicTask(
            "stop_reports", self._async_report_stops, settings.stop_report_period_s
        )

    async def async_setup(self) -> None:
        """Start syncing."""
        self._remove_listener = self._control.add_listener(self._on_revision)
        self._on_revision()
        self._allotments.start()
        self._stop_reports.start()

    async def async_unload(self) -> None:
        """Stop syncing."""
        self._remove_listener()
        self._allotments.stop()
        self._stop_reports.stop()

    @callback
    def _on_revision(self) -> None:
        """Pass the current revision to the scheduler."""
        view = self._control.view
        self._scheduler.set_agreements(
            view.agreement_by_member.values(),
            view.member_by_id.values(),
            view.quarantine_by_fingerprint.values(),
            view.stop_by_id.values(),
            view.configuration_by_key.values(),
            self._clock.now(),
        )
        self._readiness.stop_ordered = any(
            self._covers_this_host(stop) for stop in view.stop_by_id.values()
        )
        self._runner.run_scheduler()

    def _covers_this_host(self, stop: PlannedStop) -> bool:
        """Return whether an active planned stop targets this host."""
        if stop.state is StopState.CANCELLED:
            return False
        match stop.target:
            case StopTarget.HOST:
                return stop.target_id == self._settings.host_id
            case StopTarget.FAILURE_DOMAIN:
                return stop.target_id == self._settings.failure_domain
            case StopTarget.ENDPOINT:
                return False

    async def _async_request_allotments(self) -> None:
        """Request allotments of the members' limits."""
        demands = self._scheduler.demand(self._clock.now())
        if not demands:
            return
        granted = await self._control.async_request_allotments(
            demands, self._settings.control_timeout_s
        )
        match granted:
            case Result(tag="ok", ok=grants):
                self._scheduler.set_allotments(grants, self._clock.now())
                self._runner.run_scheduler()
            case Result(error=refusal):
                log_event(
                    EventCode.ALLOTMENT_CHANGED,
                    code=refusal.code.value,
                    reason=refusal.detail,
                )

    async def _async_report_stops(self) -> None:
        """Report the in-flight counts of the targets of planned stops."""
        for stop in list(self._control.view.stop_by_id.values()):
            if stop.state is StopState.DRAINING:
                self._control.report_stop(stop.stop_id, self.in_flight_of(stop))

    def in_flight_of(self, stop: PlannedStop) -> int:
        """Return how many requests of this host run on the target of a planned stop."""
        active = self._runner.active
        if self._covers_this_host(stop):
            return len(active)
        match stop.target:
            case StopTarget.ENDPOINT:
                return sum(
                    any(record.endpoint_id == stop.target_id for record in request.records)
                    for request in active
                )
            case StopTarget.FAILURE_DOMAIN:
                return sum(
                    any(record.failure_domain == stop.target_id for record in request.records)
                    for request in active
                )
            case StopTarget.HOST:
                return 0
