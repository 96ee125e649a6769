"""Endpoints, routers and results of attempts for the tests of routing."""

from __future__ import annotations

import random

import msgspec

from bench.clusters import make_record
from bench.stage_engines import MODEL, make_profile
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import EndpointId, Incarnation, Revision, StopId
from lagoonwing_core.models import EndpointRecord, PlannedStop, StopState, StopTarget
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy.models import (
    AttemptFailed,
    Dispatch,
    ModelWork,
    RequestProfile,
    Route,
    RouteStage,
)
from lagoonwing_policy.routing import FlowRouter, RouterSettings

NO_ENDPOINTS: frozenset[EndpointId] = frozenset()
LOST = Refusal(ResultCode.ENDPOINT_LOST, "connection reset")


def make_records(*speeds: float) -> list[EndpointRecord]:
    """Return whole-model endpoints with four slots each."""
    rng = random.Random(3)
    records = [make_record(number, rng, speed=speed) for number, speed in enumerate(speeds)]
    return [msgspec.structs.replace(record, slots=4) for record in records]


def make_router(
    records, settings: RouterSettings | None = None, entry_hosts: int = 1
) -> FlowRouter:
    """Return the router of one of equal entry hosts."""
    router = FlowRouter(settings or RouterSettings(), random.Random(1))
    router.set_entry_hosts(entry_hosts)
    router.set_endpoints(records, 0.0)
    return router


def router_of(records, seed: int) -> FlowRouter:
    """Return a router with its own random choices."""
    router = FlowRouter(RouterSettings(), random.Random(seed))
    router.set_endpoints(records, 0.0)
    return router


def profile_with_prefix(number: int, *prefixes: str) -> RequestProfile:
    """Return the profile of a request with a long prompt that starts with the prefixes."""
    profile = make_profile(number, 20)
    work = ModelWork(MODEL, 4000, 0, 20, prefixes)
    return type(profile)(
        profile.request_id, profile.member_id, profile.fingerprint, work, 0.0, 1e6, True
    )


def chosen_name(
    router, profile, loads=None, excluded=NO_ENDPOINTS, exclusive=False, now=0.0
) -> str:
    """Return the first endpoint of the chosen route."""
    route = router.choose(profile, loads or {}, excluded, exclusive, now)
    assert route.is_ok(), route.error
    return str(route.ok.stages[0].endpoint_id)


def report_failure(router, profile, name: str, now: float, crashed: bool = False) -> None:
    """Report a failed attempt on the first incarnation of an endpoint."""
    stage = RouteStage(EndpointId(name), Incarnation(1))
    failed = AttemptFailed(stage, Dispatch.MAY_HAVE_RUN, crashed, False, 0, LOST)
    router.on_attempt_ended(profile, Route((stage,)), failed, now)


def make_stop(
    target: StopTarget, target_id: str, state: StopState = StopState.DRAINING
) -> PlannedStop:
    """Return a planned stop."""
    return PlannedStop(
        stop_id=StopId("s"), target=target, target_id=target_id, state=state, revision=Revision(1)
    )
