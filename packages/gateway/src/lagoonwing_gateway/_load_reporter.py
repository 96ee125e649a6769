"""Tells the other gateways what this one does, through the replica that it follows."""

from __future__ import annotations

from lagoonwing_catalog.messages import LoadReport, ServicePressure
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import ServiceId
from lagoonwing_gateway._admission_queue import AdmissionQueue
from lagoonwing_gateway._directory import EndpointDirectory
from lagoonwing_gateway._load_tracker import LoadTracker
from lagoonwing_gateway._pace_tracker import PaceTracker
from lagoonwing_gateway._reach import ReachMonitor
from lagoonwing_gateway._started_work import StartedWork
from lagoonwing_gateway._unreported_work import UnreportedWork


class LoadReporter:
    """Makes load reports; what rests on the own network only is left out."""

    def __init__(
        self,
        load_tracker: LoadTracker,
        unreported_work: UnreportedWork,
        started_work: StartedWork,
        admission_queue: AdmissionQueue,
        pace_tracker: PaceTracker,
        directory: EndpointDirectory,
        reach: ReachMonitor,
    ) -> None:
        self._load_tracker = load_tracker
        self._unreported_work = unreported_work
        self._started_work = started_work
        self._admission_queue = admission_queue
        self._pace_tracker = pace_tracker
        self._directory = directory
        self._reach = reach

    @callback
    def report(self, *, is_draining: bool) -> LoadReport:
        """Return the load report of this gateway."""
        own_by_id = self._load_tracker.local_loads()
        self._unreported_work.record_report(own_by_id)
        unreachable = self._reach.unreachable_services()
        return LoadReport(
            # Requests that hang here take no place at their endpoints.
            self._directory.without_services(own_by_id, unreachable) if unreachable else own_by_id,
            self._directory.reported_suspects(self._reach.doubtful_services()),
            pressure_by_service=self._pressure_by_service(),
            slowdown_by_id=self._pace_tracker.report(),
            transfers=self._started_work.transfers(),
            unreachable_services=unreachable,
            is_draining=is_draining,
        )

    def _pressure_by_service(self) -> dict[ServiceId, ServicePressure]:
        """Return the demand at this gateway: what it has started lately and what waits."""
        started_by_service = self._started_work.cost_per_s()
        waiting_by_service = self._admission_queue.waiting_cost_by_service()
        return {
            service_id: ServicePressure(
                started_by_service.get(service_id, 0.0), waiting_by_service.get(service_id, {})
            )
            for service_id in started_by_service.keys() | waiting_by_service.keys()
        }
