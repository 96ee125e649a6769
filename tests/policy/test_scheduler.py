"""Scheduler: starts, routes, refusals, retries and late results of attempts."""

from __future__ import annotations

import pytest

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import (
    AgreementId,
    Attempt,
    EndpointId,
    FailureDomainId,
    Fingerprint,
    Incarnation,
    MemberId,
    ModelId,
    RequestId,
    Revision,
)
from lagoonwing_core.models import (
    Agreement,
    EndpointKind,
    EndpointRecord,
    EndpointState,
    EntityState,
    LayerRange,
    Member,
    Quarantine,
    QuarantineState,
)
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy import Scheduler, SchedulerSettings
from lagoonwing_policy.models import (
    AttemptFailed,
    AttemptSucceeded,
    Dispatch,
    ModelWork,
    RefuseRequest,
    ReportSuspects,
    RequestProfile,
    RouteStage,
    StartAttempt,
)

MODEL = ModelId("m")


def _endpoint(name: str, slots: int = 1, layers: tuple[int, int] | None = None) -> EndpointRecord:
    return EndpointRecord(
        endpoint_id=EndpointId(name),
        incarnation=Incarnation(1),
        sequence=1,
        state=EndpointState.SERVING,
        kind=EndpointKind.STAGE if layers else EndpointKind.WHOLE_MODEL,
        address="127.0.0.1",
        port=1,
        failure_domain=FailureDomainId("a"),
        models=(MODEL,),
        layers=LayerRange(*layers) if layers else None,
        layer_count=30 if layers else 0,
        slots=slots,
    )


def _member(name: str) -> tuple[Agreement, Member]:
    agreement = Agreement(
        agreement_id=AgreementId(name),
        member_id=MemberId(name),
        weight=1.0,
        max_concurrency=None,
        max_requests_per_s=None,
        max_tokens_per_s=None,
        state=EntityState.ACTIVE,
        revision=Revision(1),
    )
    member = Member(
        member_id=MemberId(name),
        name=name,
        key_hashes=(),
        state=EntityState.ACTIVE,
        revision=Revision(1),
    )
    return agreement, member


def _publish_suspect(scheduler: Scheduler, fingerprint: str, now: float) -> None:
    """Pass the scheduler a replicated state with a suspect."""
    agreement, member = _member("acme")
    suspect = Quarantine(
        fingerprint=Fingerprint(fingerprint),
        state=QuarantineState.SUSPECT,
        deaths=((EndpointId("e1"), Incarnation(1)),),
        revision=Revision(2),
    )
    scheduler.set_agreements([agreement], [member], [suspect], [], [], now)


def _profile(name: str, member: str = "acme", idempotent: bool = True) -> RequestProfile:
    work = ModelWork(MODEL, prompt_tokens=10, images=0, max_tokens=10)
    return RequestProfile(
        RequestId(name),
        MemberId(member),
        Fingerprint("f-" + name),
        work,
        arrived=0.0,
        deadline=30.0,
        idempotent=idempotent,
    )


def _failed(
    endpoint: str, dispatch: Dispatch = Dispatch.MAY_HAVE_RUN, crashed: bool = False
) -> AttemptFailed:
    return AttemptFailed(
        RouteStage(EndpointId(endpoint), Incarnation(1)),
        dispatch,
        endpoint_crashed=crashed,
        bytes_reached_caller=False,
        resumable_tokens=0,
        refusal=Refusal(ResultCode.ENDPOINT_LOST, "lost"),
    )


@pytest.fixture
def scheduler() -> Scheduler:
    """A scheduler with one member."""
    made = Scheduler(SchedulerSettings(), seed=1)
    agreement, member = _member("acme")
    made.set_agreements([agreement], [member], [], [], [], 0.0)
    return made


def test_requests_start_while_slots_are_free(scheduler: Scheduler) -> None:
    """An endpoint never runs more attempts than it has slots."""
    scheduler.set_endpoints([_endpoint("e1", slots=2)], 0.0)
    for name in ("r1", "r2", "r3"):
        assert scheduler.submit(_profile(name), 0.0).is_ok()
    started = [c.request_id for c in scheduler.tick(0.0) if isinstance(c, StartAttempt)]
    assert started == ["r1", "r2"]
    assert scheduler.in_flight(EndpointId("e1")) == 2
    commands = scheduler.attempt_ended(RequestId("r1"), Attempt(1), AttemptSucceeded(10), 1.0)
    assert [c.request_id for c in commands if isinstance(c, StartAttempt)] == ["r3"]


def test_pipeline_route_holds_every_layer_once_in_order(scheduler: Scheduler) -> None:
    """A pipeline route covers all layers without gap or overlap."""
    stages = [("s3", (20, 30)), ("s1", (0, 10)), ("dead-end", (0, 15)), ("s2", (10, 20))]
    scheduler.set_endpoints([_endpoint(name, layers=layers) for name, layers in stages], 0.0)
    scheduler.submit(_profile("r1"), 0.0)
    (command,) = scheduler.tick(0.0)
    assert isinstance(command, StartAttempt)
    assert [stage.endpoint_id for stage in command.route.stages] == ["s1", "s2", "s3"]


def test_member_without_agreement_is_refused(scheduler: Scheduler) -> None:
    """Requests of a member without an agreement in force are refused."""
    refused = scheduler.submit(_profile("r1", member="stranger"), 0.0)
    assert refused.error.code is ResultCode.NO_AGREEMENT


def test_non_idempotent_work_that_may_have_run_is_not_retried(scheduler: Scheduler) -> None:
    """The failure is returned instead of a second attempt."""
    scheduler.set_endpoints([_endpoint("e1"), _endpoint("e2")], 0.0)
    scheduler.submit(_profile("r1", idempotent=False), 0.0)
    scheduler.tick(0.0)
    commands = scheduler.attempt_ended(RequestId("r1"), Attempt(1), _failed("e1"), 1.0)
    assert [type(command) for command in commands] == [RefuseRequest]
    assert scheduler.tick(2.0) == []


def test_late_end_of_a_superseded_attempt_is_ignored(scheduler: Scheduler) -> None:
    """Only the result of the current attempt counts."""
    scheduler.set_endpoints([_endpoint("e1"), _endpoint("e2")], 0.0)
    scheduler.submit(_profile("r1"), 0.0)
    scheduler.tick(0.0)
    scheduler.attempt_ended(RequestId("r1"), Attempt(1), _failed("e1"), 1.0)
    (retried,) = scheduler.tick(2.0)
    assert isinstance(retried, StartAttempt)
    assert (retried.attempt, retried.route.stages[0].endpoint_id) == (2, "e2")
    assert scheduler.attempt_ended(RequestId("r1"), Attempt(1), AttemptSucceeded(1), 2.0) == []
    assert scheduler.in_flight(EndpointId("e2")) == 1


def test_suspects_wait_until_they_are_recorded(scheduler: Scheduler) -> None:
    """A request from a crashed endpoint is retried only after it is recorded as a suspect."""
    scheduler.set_endpoints([_endpoint("e1"), _endpoint("e2")], 0.0)
    scheduler.submit(_profile("r1"), 0.0)
    scheduler.tick(0.0)
    failed = _failed("e1", crashed=True)
    commands = scheduler.attempt_ended(RequestId("r1"), Attempt(1), failed, 1.0)
    assert [type(command) for command in commands] == [ReportSuspects]
    assert scheduler.tick(5.0) == []
    assert scheduler.suspects_recorded([Fingerprint("f-r1")], 6.0) == []
    assert scheduler.tick(6.1) == []
    _publish_suspect(scheduler, "f-r1", 6.2)
    (started,) = scheduler.tick(6.2)
    assert isinstance(started, StartAttempt)
    assert started.route.exclusive


def test_refused_connection_makes_no_suspect(scheduler: Scheduler) -> None:
    """A request that never reached a crashed endpoint did not crash it."""
    scheduler.set_endpoints([_endpoint("e1"), _endpoint("e2")], 0.0)
    scheduler.submit(_profile("r1"), 0.0)
    scheduler.tick(0.0)
    refused = _failed("e1", Dispatch.NO_BYTE_SENT, crashed=True)
    assert scheduler.attempt_ended(RequestId("r1"), Attempt(1), refused, 1.0) == []
    (retried,) = scheduler.tick(2.0)
    assert isinstance(retried, StartAttempt)
    assert not retried.route.exclusive


def test_retry_returns_to_the_only_endpoint(scheduler: Scheduler) -> None:
    """Without another endpoint, a retry uses the one that failed."""
    scheduler.set_endpoints([_endpoint("e1")], 0.0)
    scheduler.submit(_profile("r1"), 0.0)
    scheduler.tick(0.0)
    failed = _failed("e1", Dispatch.NO_BYTE_SENT)
    scheduler.attempt_ended(RequestId("r1"), Attempt(1), failed, 1.0)
    started = [
        command
        for step in range(100)
        for command in scheduler.tick(1.0 + step / 50)
        if isinstance(command, StartAttempt)
    ]
    assert [command.route.stages[0].endpoint_id for command in started] == ["e1"]
