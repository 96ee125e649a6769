"""Simple routes, retries and quarantine: first fit, a few attempts, suspects run alone."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from expression import Error, Ok, Result

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import Attempt, EndpointId, Fingerprint
from lagoonwing_core.models import (
    EndpointKind,
    EndpointRecord,
    EndpointState,
    PlannedStop,
    Quarantine,
    QuarantineState,
    StopState,
    StopTarget,
)
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy._router_protocol import (
    EndpointUse,
    GiveUp,
    NoFreeSlot,
    RetryAt,
    RouteFailure,
    Standing,
)
from lagoonwing_policy.models import (
    AttemptFailed,
    ClearSuspect,
    Dispatch,
    EndpointLoad,
    ModelWork,
    ReportSuspects,
    RequestProfile,
    Route,
    RouteStage,
    ServiceWork,
)

MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.05


class FirstFitRouter:
    """Takes the least loaded endpoint, or the first complete chain of stages."""

    def __init__(self) -> None:
        self._record_by_id: dict[EndpointId, EndpointRecord] = {}
        self._records_by_work: dict[str, list[EndpointRecord]] = {}
        self._stops: tuple[PlannedStop, ...] = ()

    def set_endpoints(self, records: Iterable[EndpointRecord], now: float) -> None:
        """Replace the endpoint table."""
        self._record_by_id = {record.endpoint_id: record for record in records}
        self._index()

    def set_stops(self, stops: Iterable[PlannedStop]) -> None:
        """Replace the planned stops."""
        self._stops = tuple(stop for stop in stops if stop.state is not StopState.CANCELLED)
        self._index()

    def choose(
        self,
        profile: RequestProfile,
        loads_by_endpoint: Mapping[EndpointId, EndpointUse],
        excluded: frozenset[EndpointId],
        exclusive: bool,
        now: float,
    ) -> Result[Route, RouteFailure]:
        """Return a route with a free slot on each endpoint."""
        records = self._records_by_work.get(_work_key(profile), [])
        if not records:
            return Error(Refusal(ResultCode.NO_ENDPOINT, "no endpoint serves this"))
        whole = [record for record in records if record.kind is not EndpointKind.STAGE]
        free = [
            record
            for record in records
            if _has_slot(record, loads_by_endpoint, excluded, exclusive)
        ]
        free_whole = [record for record in free if record.kind is not EndpointKind.STAGE]
        if free_whole:
            best = min(free_whole, key=lambda record: _load(record, loads_by_endpoint))
            return Ok(Route((_stage(best),), exclusive=exclusive))
        chain = _find_chain(free, loads_by_endpoint)
        if chain:
            return Ok(Route(tuple(_stage(record) for record in chain), exclusive=exclusive))
        if not whole and not _find_chain(records, {}):
            return Error(Refusal(ResultCode.INCOMPLETE_PIPELINE, "no stage holds some layers"))
        return Error(NoFreeSlot())

    def replace_stage(
        self,
        profile: RequestProfile,
        route: Route,
        failed: RouteStage,
        loads_by_endpoint: Mapping[EndpointId, EndpointUse],
        now: float,
    ) -> Result[RouteStage, Refusal]:
        """Return another stage with the same layers."""
        lost = self._record_by_id.get(failed.endpoint_id)
        excluded = frozenset(stage.endpoint_id for stage in route.stages)
        for record in self._records_by_work.get(_work_key(profile), []):
            if lost is None or record.layers != lost.layers:
                continue
            if _has_slot(record, loads_by_endpoint, excluded, route.exclusive):
                return Ok(_stage(record))
        return Error(Refusal(ResultCode.NO_ENDPOINT, "no other stage holds these layers"))

    def report_load(self, load: EndpointLoad) -> None:
        """Ignore load reports."""

    def report_prefix(self, endpoint_id: EndpointId, prefix_hash: str, held: bool) -> None:
        """Ignore cache events."""

    def _index(self) -> None:
        """Group the records that may get new work by what they serve."""
        self._records_by_work = {}
        for record in self._record_by_id.values():
            if record.state is EndpointState.LEAVING or self._is_stopping(record):
                continue
            for key in _served_keys(record):
                self._records_by_work.setdefault(key, []).append(record)

    def _is_stopping(self, record: EndpointRecord) -> bool:
        """Return whether a planned stop covers the endpoint."""
        for stop in self._stops:
            match stop.target:
                case StopTarget.ENDPOINT if stop.target_id == record.endpoint_id:
                    return True
                case StopTarget.FAILURE_DOMAIN if stop.target_id == record.failure_domain:
                    return True
                case _:
                    continue
        return False


class SimpleRetries:
    """Allows a few attempts, and none that could repeat work."""

    def on_first_try(self, now: float) -> None:
        """Count nothing."""

    def decide(
        self, profile: RequestProfile, attempt: Attempt, failed: AttemptFailed, now: float
    ) -> RetryAt | GiveUp:
        """Return when to try again, or why not to."""
        may_repeat = profile.idempotent or failed.dispatch is not Dispatch.MAY_HAVE_RUN
        delay = failed.retry_after or RETRY_DELAY_S
        if not may_repeat or attempt >= MAX_ATTEMPTS or now + delay >= profile.deadline:
            return GiveUp(failed.refusal)
        if failed.bytes_reached_caller and not failed.resumable_tokens:
            return GiveUp(failed.refusal)
        return RetryAt(now + delay)


class SimpleQuarantines:
    """Runs suspects alone and refuses the quarantined."""

    def __init__(self) -> None:
        self._state_by_fingerprint: dict[Fingerprint, QuarantineState] = {}

    def set_quarantines(self, quarantines: Iterable[Quarantine]) -> None:
        """Replace the durable quarantines."""
        self._state_by_fingerprint = {entry.fingerprint: entry.state for entry in quarantines}

    def standing(self, fingerprint: Fingerprint) -> Standing:
        """Return how a request with this fingerprint may run."""
        match self._state_by_fingerprint.get(fingerprint):
            case QuarantineState.SUSPECT:
                return Standing.EXCLUSIVE
            case QuarantineState.QUARANTINED:
                return Standing.REFUSED
            case _:
                return Standing.ALLOWED

    def on_endpoint_died(
        self, stage: RouteStage, running: tuple[Fingerprint, ...]
    ) -> ReportSuspects | None:
        """Return the suspects to record."""
        if not running:
            return None
        return ReportSuspects(running, stage.endpoint_id, stage.incarnation)

    def on_succeeded(self, fingerprint: Fingerprint, exclusive: bool) -> ClearSuspect | None:
        """Clear a suspect that ran alone."""
        if exclusive and self.standing(fingerprint) is Standing.EXCLUSIVE:
            return ClearSuspect(fingerprint)
        return None


def _work_key(profile: RequestProfile) -> str:
    """Return what a request needs."""
    match profile.work:
        case ModelWork(model_id=model_id):
            return f"model/{model_id}"
        case ServiceWork(service_id=service_id):
            return f"service/{service_id}"


def _served_keys(record: EndpointRecord) -> list[str]:
    """Return what an endpoint serves."""
    if record.kind is EndpointKind.SERVICE:
        return [f"service/{record.service}"]
    return [f"model/{model_id}" for model_id in record.models]


def _stage(record: EndpointRecord) -> RouteStage:
    """Return the stage for an endpoint."""
    return RouteStage(record.endpoint_id, record.incarnation)


def _load(
    record: EndpointRecord, loads_by_endpoint: Mapping[EndpointId, EndpointUse]
) -> tuple[float, EndpointId]:
    """Return the share of slots in use, with the id so that ties have an order."""
    use = loads_by_endpoint.get(record.endpoint_id)
    return (use.running / max(1, record.slots) if use else 0.0, record.endpoint_id)


def _has_slot(
    record: EndpointRecord,
    loads_by_endpoint: Mapping[EndpointId, EndpointUse],
    excluded: frozenset[EndpointId],
    exclusive: bool,
) -> bool:
    """Return whether an attempt may start on the endpoint now."""
    if record.endpoint_id in excluded:
        return False
    use = loads_by_endpoint.get(record.endpoint_id)
    if use is None:
        return True
    if use.exclusive or exclusive:
        return use.running == 0
    return use.running < record.slots


def _find_chain(
    records: list[EndpointRecord], loads_by_endpoint: Mapping[EndpointId, EndpointUse]
) -> list[EndpointRecord]:
    """Return stages that hold every layer exactly once, or nothing."""
    by_first: dict[int, list[EndpointRecord]] = {}
    for record in records:
        if record.layers is not None:
            by_first.setdefault(record.layers.first, []).append(record)
    for candidates in by_first.values():
        candidates.sort(key=lambda record: _load(record, loads_by_endpoint))
    dead_ends: set[int] = set()

    def extend(position: int, layer_count: int) -> list[EndpointRecord] | None:
        if position == layer_count:
            return []
        if position in dead_ends:
            return None
        for record in by_first.get(position, []):
            if record.layer_count != layer_count or record.layers is None:
                continue
            rest = extend(record.layers.end, layer_count)
            if rest is not None:
                return [record, *rest]
        dead_ends.add(position)
        return None

    for layer_count in {record.layer_count for record in records if record.layers}:
        dead_ends.clear()
        chain = extend(0, layer_count)
        if chain:
            return chain
    return []
