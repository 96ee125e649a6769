"""Planned stops: whether one may be ordered, and when its target may be switched off."""

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
    """A voting replica as the leader sees it.

    Attributes:
        healthy: Whether it answered lately and no operator declared its host lost.
    """

    host_id: HostId
    failure_domain: FailureDomainId
    healthy: bool


@dataclass(frozen=True, slots=True)
class EntryView:
    """An entry host as the leader sees it.

    Attributes:
        silence: Seconds since its last contact.
        applied: Revision that it said it had applied.
        in_flight_by_stop: Requests in flight per planned stop, as it reported them.
    """

    silence: float
    applied: Revision
    in_flight_by_stop: Mapping[StopId, int]
    declared_lost: bool


def check_order(
    order: OrderStop,
    stops: Iterable[PlannedStop],
    voters: Iterable[VoterView],
    endpoints: Iterable[EndpointSummary],
) -> Refusal | None:
    """Refuse a stop that takes the majority of voters or the last holder of something."""
    active = [stop for stop in stops if stop.state is not StopState.CANCELLED]
    targets = [(stop.target, stop.target_id) for stop in active]
    wanted = (order.target, order.target_id)
    refusal = _check_voters(wanted, targets, list(voters))
    if refusal is not None or order.target is StopTarget.HOST:
        return refusal
    return _check_endpoints(wanted, targets, list(endpoints))


def is_safe(
    stop: PlannedStop, entries: Iterable[EntryView], lease_hold_s: float, running_hold_s: float
) -> bool:
    """Return whether nothing runs on a stop's target any more.

    Args:
        stop: Stop that drains.
        entries: Every entry host that may have taken work.
        lease_hold_s: Seconds of silence after which an entry host takes no new work.
        running_hold_s: Seconds of silence after which nothing that it started runs.
    """
    return all(_has_ended(stop, entry, lease_hold_s, running_hold_s) for entry in entries)


def _has_ended(
    stop: PlannedStop, entry: EntryView, lease_hold_s: float, running_hold_s: float
) -> bool:
    """Return whether one entry host has nothing on a stop's target."""
    if entry.applied >= stop.revision and entry.in_flight_by_stop.get(stop.stop_id) == 0:
        return True
    return entry.silence > (lease_hold_s if entry.declared_lost else running_hold_s)


def _check_voters(
    wanted: tuple[StopTarget, str],
    targets: list[tuple[StopTarget, str]],
    voters: list[VoterView],
) -> Refusal | None:
    """Refuse a stop after which fewer than a majority of voters would run."""
    taken = [voter for voter in voters if _takes_voter(wanted, voter)]
    if not taken:
        return None
    left = [
        voter
        for voter in voters
        if voter.healthy and not any(_takes_voter(target, voter) for target in [*targets, wanted])
    ]
    if len(left) > len(voters) // 2:
        return None
    detail = f"{len(left)} of {len(voters)} control voters would be left, too few for a majority"
    return Refusal(ResultCode.STOP_REFUSED, detail)


def _takes_voter(target: tuple[StopTarget, str], voter: VoterView) -> bool:
    """Return whether a stop takes a voter out of service."""
    match target:
        case (StopTarget.HOST, host_id):
            return voter.host_id == host_id
        case (StopTarget.FAILURE_DOMAIN, failure_domain):
            return voter.failure_domain == failure_domain
        case _:
            return False


def _check_endpoints(
    wanted: tuple[StopTarget, str],
    targets: list[tuple[StopTarget, str]],
    endpoints: list[EndpointSummary],
) -> Refusal | None:
    """Refuse a stop that takes the last holder of a model, layer or service."""
    running = [
        item for item in endpoints if not any(_takes_endpoint(target, item) for target in targets)
    ]
    left = [item for item in running if not _takes_endpoint(wanted, item)]
    lost_layers = _layers(running) - _layers(left)
    if lost_layers:
        model_id, layer = min(lost_layers)
        detail = f"it takes the last holder of layer {layer} of model {model_id}"
        return Refusal(ResultCode.STOP_REFUSED, detail)
    lost_services = _services(running) - _services(left)
    if lost_services:
        detail = f"it takes the last endpoint of service {min(lost_services)}"
        return Refusal(ResultCode.STOP_REFUSED, detail)
    return None


def _takes_endpoint(target: tuple[StopTarget, str], endpoint: EndpointSummary) -> bool:
    """Return whether a stop takes an endpoint out of service."""
    match target:
        case (StopTarget.ENDPOINT, endpoint_id):
            return endpoint.endpoint_id == endpoint_id
        case (StopTarget.FAILURE_DOMAIN, failure_domain):
            return endpoint.failure_domain == failure_domain
        case _:
            return False


def _layers(endpoints: list[EndpointSummary]) -> set[Layer]:
    """Return the layers that endpoints hold; a whole model counts as every layer known of it."""
    layer_count_by_model: dict[ModelId, int] = {}
    for endpoint in endpoints:
        for model_id in endpoint.models:
            known = layer_count_by_model.get(model_id, 1)
            layer_count_by_model[model_id] = max(known, endpoint.layer_count)
    layers: set[Layer] = set()
    for endpoint in endpoints:
        for model_id in endpoint.models:
            first = 0 if endpoint.layers is None else endpoint.layers.first
            whole_end = layer_count_by_model[model_id]
            end = whole_end if endpoint.layers is None else endpoint.layers.end
            layers.update((model_id, layer) for layer in range(first, end))
    return layers


def _services(endpoints: list[EndpointSummary]) -> set[ServiceId]:
    """Return the services that endpoints run."""
    return {endpoint.service for endpoint in endpoints if endpoint.service is not None}
