"""Which streams may be held back because of load: the route must ask for it."""

from __future__ import annotations

import math
import random
from typing import Any, cast

import msgspec
import pytest
from tornado.httputil import HTTPHeaders

from lagoonwing_catalog.messages import LoadSummary
from lagoonwing_catalog.models import Engine, RequestKind, Route, Service
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import AttemptId, RouteId, ServiceId
from lagoonwing_fakes.fleets import make_engine
from lagoonwing_gateway._final_response import KeptFailure
from lagoonwing_gateway._started_work import StartedWork
from lagoonwing_gateway._stream_call import StreamCall, StreamProgress
from lagoonwing_gateway._unreported_work import OthersLoad, UnreportedWork
from lagoonwing_gateway.models import CallerRequest, RequestContext
from lagoonwing_http import ResponseBudget
from lagoonwing_placement import Backlogs, PathBounds, RequestSize


def _call(engine: Engine | None, pause_objective_s: float | None, send_count: int) -> StreamCall:
    """Return a stream on a route with or without a pause objective."""
    request = CallerRequest(
        AttemptId("a"), "POST", "h", "/", "/", HTTPHeaders(), b"", None, None, None, None, 0.0
    )
    route = Route(
        RouteId("r"),
        "h",
        "/",
        RequestKind.STREAM,
        20.0,
        0.5,
        0,
        (),
        2,
        True,
        True,
        pause_objective_s,
    )
    progress = StreamProgress(KeptFailure(ResponseBudget(1)), send_count=send_count)
    return StreamCall(
        RequestContext(request, route, None, 20.0, first_attempt_at=0.0),
        Service(ServiceId("s"), "/", 64, engine),
        RequestSize(100, 100),
        cast(Any, None),
        progress,
    )


def test_new_stream_over_layers_has_the_bounds_of_its_route() -> None:
    """An overload must not lengthen first events and pauses beyond the route's objectives."""
    assert _call(make_engine(), 0.25, 0).path_bounds == PathBounds(500.0, 250.0)


@pytest.mark.parametrize(
    ("engine", "pause_objective_s", "send_count"),
    [(make_engine(), None, 0), (make_engine(), 0.25, 1), (None, 0.25, 0)],
    ids=["no pause objective", "sent before", "plain service"],
)
def test_other_streams_have_none(
    engine: Engine | None, pause_objective_s: float | None, send_count: int
) -> None:
    """A lost endpoint under load must not end streams in progress; old routes work as before."""
    assert _call(engine, pause_objective_s, send_count).path_bounds is None


def test_mean_cost_of_engines_with_zero_figures_is_positive() -> None:
    """Published means of zero ended every choice of a path by a division by zero."""
    engine = msgspec.structs.replace(make_engine(), mean_prompt_tokens=0, mean_output_tokens=0)
    mean_cost = _call(engine, None, 0).mean_cost
    clock = ManualClock()
    others = OthersLoad(LoadSummary({}), math.inf, 1)
    work = UnreportedWork(lambda: others, StartedWork(clock), clock, random.Random(1))
    service_id = ServiceId("s")
    assert (
        work.stream_backlogs(service_id, mean_cost, (), {}, lambda endpoint_id: True) == Backlogs()
    )
