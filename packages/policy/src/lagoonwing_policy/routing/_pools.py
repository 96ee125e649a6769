"""Endpoints by the work that they serve, with the limits from the flow plan."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from lagoonwing_core.ids import EndpointId, FailureDomainId
from lagoonwing_core.models import EndpointKind, EndpointRecord
from lagoonwing_policy.models import ModelWork, RequestProfile, RouteStage, ServiceWork
from lagoonwing_policy.routing import const
from lagoonwing_policy.routing._flow import FlowPlan, interval_s, plan_flow
from lagoonwing_policy.routing._links import LinkTable
from lagoonwing_policy.routing.models import FlowRoutes, RoundRobinRoutes, RoutePolicy


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may receive work.

    Attributes:
        interval_s: Time between two tokens of one sequence.
        slots: Number of sequences that the engine runs concurrently.
        limit: Attempts that all entry hosts together may have in flight here.
        planned: Whether the flow plan uses the endpoint.
    """

    endpoint_id: EndpointId
    stage: RouteStage
    failure_domain: FailureDomainId
    first: int
    end: int
    interval_s: float
    slots: int
    limit: float
    planned: bool


@dataclass(frozen=True, slots=True)
class Split:
    """Stages of one model by their first layer."""

    layer_count: int
    plan: FlowPlan
    candidates_by_first_layer: dict[int, tuple[Candidate, ...]]


@dataclass(slots=True)
class RoutePool:
    """Endpoints that serve one model or service."""

    whole: tuple[Candidate, ...] = ()
    splits: tuple[Split, ...] = ()
    candidate_by_id: dict[EndpointId, Candidate] = field(default_factory=dict)

    def is_complete(self) -> bool:
        """Return whether any route exists, regardless of load."""
        return bool(self.whole) or any(split.plan.tokens_per_s > 0 for split in self.splits)


def pool_key_of(profile: RequestProfile) -> str:
    """Return the key of the pool that serves a request."""
    match profile.work:
        case ModelWork(model_id=model_id):
            return f"model/{model_id}"
        case ServiceWork(service_id=service_id):
            return f"service/{service_id}"


def build_pools(
    records: Iterable[EndpointRecord], links: LinkTable, policy: RoutePolicy
) -> dict[str, RoutePool]:
    """Group endpoints by the work that they serve and plan the flow of each model."""
    records_by_key: dict[str, list[EndpointRecord]] = defaultdict(list)
    for record in records:
        for key in _served_keys(record):
            records_by_key[key].append(record)
    return {key: _build_pool(members, links, policy) for key, members in records_by_key.items()}


def _build_pool(
    records: Sequence[EndpointRecord], links: LinkTable, policy: RoutePolicy
) -> RoutePool:
    """Build one pool."""
    whole = tuple(
        _standalone_candidate(record) for record in records if record.kind is not EndpointKind.STAGE
    )
    stages_by_count: dict[int, list[EndpointRecord]] = defaultdict(list)
    for record in records:
        if record.kind is EndpointKind.STAGE and record.layers is not None:
            stages_by_count[record.layer_count].append(record)
    splits = tuple(
        _build_split(stages, layer_count, links, policy)
        for layer_count, stages in sorted(stages_by_count.items())
    )
    pool = RoutePool(whole, splits)
    pool.candidate_by_id = {candidate.endpoint_id: candidate for candidate in whole}
    for split in splits:
        for candidates in split.candidates_by_first_layer.values():
            pool.candidate_by_id.update({item.endpoint_id: item for item in candidates})
    return pool


def _build_split(
    records: Sequence[EndpointRecord], layer_count: int, links: LinkTable, policy: RoutePolicy
) -> Split:
    """Plan the flow through the stages of a model and derive the limit of each stage."""
    plan = plan_flow(records, layer_count, links)
    by_first_layer: dict[int, list[Candidate]] = defaultdict(list)
    for record in records:
        candidate = _stage_candidate(record, plan, policy)
        by_first_layer[candidate.first].append(candidate)
    return Split(
        layer_count, plan, {first: tuple(items) for first, items in by_first_layer.items()}
    )


def _standalone_candidate(record: EndpointRecord) -> Candidate:
    """Return the candidate of a whole-model or service endpoint."""
    return Candidate(
        record.endpoint_id,
        RouteStage(record.endpoint_id, record.incarnation),
        record.failure_domain,
        first=0,
        end=0,
        interval_s=interval_s(record),
        slots=max(1, record.slots),
        limit=float(max(1, record.slots)),
        planned=True,
    )


def _stage_candidate(record: EndpointRecord, plan: FlowPlan, policy: RoutePolicy) -> Candidate:
    """Return the candidate of a pipeline stage."""
    assert record.layers is not None
    return Candidate(
        record.endpoint_id,
        RouteStage(record.endpoint_id, record.incarnation),
        record.failure_domain,
        record.layers.first,
        record.layers.end,
        interval_s(record),
        max(1, record.slots),
        _stage_limit(record, plan, policy),
        planned=plan.flow_by_endpoint.get(record.endpoint_id, 0.0) > 0,
    )


def _stage_limit(record: EndpointRecord, plan: FlowPlan, policy: RoutePolicy) -> float:
    """Return the limit of attempts in flight on a stage; each is there only part of the time.

    By Little's law, a flow needs flow times latency sequences in flight. Flow is conserved at
    layer boundaries, so limits in proportion to the flow never starve a stage. The baseline has
    no plan; it scales the slots by the number of such stages that make up the model.
    """
    slots = max(1, record.slots)
    match policy:
        case FlowRoutes():
            flow = plan.flow_by_endpoint.get(record.endpoint_id, 0.0)
            planned = flow * plan.latency_s * const.STAGE_HEADROOM
            return max(1.0, planned) if flow else float(slots)
        case RoundRobinRoutes():
            assert record.layers is not None
            held = max(1, record.layers.end - record.layers.first)
            return slots * math.ceil(record.layer_count / held)


def _served_keys(record: EndpointRecord) -> list[str]:
    """Return the keys of the pools that an endpoint belongs to."""
    if record.kind is EndpointKind.SERVICE:
        return [f"service/{record.service}"]
    return [f"model/{model_id}" for model_id in record.models]
