"""Planned stops: admission of a new stop and detection that its target has drained."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lagoonwing_control.models import OrderStop
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import FailureDomainId, HostId, ModelId, Revision, ServiceId, StopId
from lagoonwing_core.models import PlannedStop, StopState, StopTarget
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_wire.control_messages import EndpointSummary

Layer = tuple[ModelId, int]


@dataclass(frozen=True, slots=True)
class VoterView:
    """The leader's view of a voting replica.

    Attributes:
        healthy: Whether it answered recently and no operator declared its host lost.
    """

    host_id: HostId
    failure_domain: FailureDomainId
    healthy: bool


@dataclass(frozen=True, slots=True)
class EntryHostView:
    """The leader's view of an entry host.

    Attributes:
        contact_age_s: Seconds since its last contact.
        applied: Revision that it last reported as applied.
        in_flight_by_stop: Reported number of requests in flight per planned stop.
    """

    contact_age_s: float
    applied: Revision
    in_flight_by_stop: Mapping[StopId, int]
    declared_lost: bool


def check_stop_order(
    order: OrderStop,
    stops: Iterable[PlannedStop],
    voters: Iterable[VoterView],
    endpoints: Iterable[EndpointSummary],
) -> Refusal | None:
    """Refuse a stop that removes the majority of voters or the last provider of something."""
    active = [stop for stop in stops if stop.state is not StopState.CANCELLED]
    active_targets = [(stop.target, stop.target_id) for stop in active]
    requested = (order.target, order.target_id)
    refusal = _check_voters(requested, active_targets, list(voters))
    if refusal is not None or order.target is StopTarget.HOST:
        return refusal
    return _check_endpoints(requested, active_targets, list(endpoints))


def is_safe(
    stop: PlannedStop,
    entries: Iterable[EntryHostView],
    lease_expiry_s: float,
    request_expiry_s: float,
) -> bool:
    """Return whether a stop's target has drained.

    Args:
        stop: Draining stop.
        entries: Every entry host that may have taken work.
        lease_expiry_s: Seconds without contact after which an entry host takes no new work.
        request_expiry_s: Seconds without contact after which all its requests have ended.
    """
    return all(_has_drained(stop, entry, lease_expiry_s, request_expiry_s) for entry in entries)


def _has_drained(
    stop: PlannedStop, entry: EntryHostView, lease_expiry_s: float, request_expiry_s: float
) -> bool:
    """Return whether one entry host has no requests left on a stop's target."""
    if entry.applied >= stop.revision and entry.in_flight_by_stop.get(stop.stop_id) == 0:
        return True
    return entry.contact_age_s > (lease_expiry_s if entry.declared_lost else request_expiry_s)


def _check_voters(
    requested: tuple[StopTarget, str],
    active_targets: list[tuple[StopTarget, str]],
    voters: list[VoterView],
) -> Refusal | None:
    """Refuse a stop that leaves less than a majority of healthy voters."""
    stopped = [voter for voter in voters if _stops_voter(requested, voter)]
    if not stopped:
        return None
    remaining = [
        voter
        for voter in voters
        if voter.healthy
        and not any(_stops_voter(target, voter) for target in [*active_targets, requested])
    ]
    if len(remaining) > len(voters) // 2:
        return None
    detail = (
        f"{len(remaining)} of {len(voters)} control voters would be left, too few for a majority"
    )
    return Refusal(ResultCode.STOP_REFUSED, detail)


def _stops_voter(target: tuple[StopTarget, str], voter: VoterView) -> bool:
    """Return whether a stop with this target takes a voter out of service."""
    match target:
        case (StopTarget.HOST, host_id):
            return voter.host_id == host_id
        case (StopTarget.FAILURE_DOMAIN, failure_domain):
            return voter.failure_domain == failure_domain
        case _:
            return False


def _check_endpoints(
    requested: tuple[StopTarget, str],
    active_targets: list[tuple[StopTarget, str]],
    endpoints: list[EndpointSummary],
) -> Refusal | None:
    """Refuse a stop that removes the last endpoint of a model layer or a service."""
    running = [
        item
        for item in endpoints
        if not any(_stops_endpoint(target, item) for target in active_targets)
    ]
    remaining = [item for item in running if not _stops_endpoint(requested, item)]
    lost_layers = _held_layers(running) - _held_layers(remaining)
    if lost_layers:
        model_id, layer = min(lost_layers)
        detail = f"it takes the last holder of layer {layer} of model {model_id}"
        return Refusal(ResultCode.STOP_REFUSED, detail)
    lost_services = _provided_services(running) - _provided_services(remaining)
    if lost_services:
        detail = f"it takes the last endpoint of service {min(lost_services)}"
        return Refusal(ResultCode.STOP_REFUSED, detail)
    return None


def _stops_endpoint(target: tuple[StopTarget, str], endpoint: EndpointSummary) -> bool:
    """Return whether a stop with this target takes an endpoint out of service."""
    match target:
        case (StopTarget.ENDPOINT, endpoint_id):
            return endpoint.endpoint_id == endpoint_id
        case (StopTarget.FAILURE_DOMAIN, failure_domain):
            return endpoint.failure_domain == failure_domain
        case _:
            return False


def _held_layers(endpoints: list[EndpointSummary]) -> set[Layer]:
    """Return the layers held; a whole model counts as all known layers of the model."""
    layer_count_by_model: dict[ModelId, int] = {}
    for endpoint in endpoints:
        for model_id in endpoint.models:
            known = layer_count_by_model.get(model_id, 1)
            layer_count_by_model[model_id] = max(known, endpoint.layer_count)
    layers: set[Layer] = set()
    for endpoint in endpoints:
        for model_id in endpoint.models:
            first = 0 if endpoint.layers is None else endpoint.layers.first
            layer_count = layer_count_by_model[model_id]
            end = layer_count if endpoint.layers is None else endpoint.layers.end
            layers.update((model_id, layer) for layer in range(first, end))
    return layers


def _provided_services(endpoints: list[EndpointSummary]) -> set[ServiceId]:
    """Return the services that endpoints provide."""
    return {endpoint.service for endpoint in endpoints if endpoint.service is not None}
