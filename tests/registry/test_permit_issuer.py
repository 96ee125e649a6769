"""Permits for limited endpoints: how many, in which order, and what is promised."""

from __future__ import annotations

import pytest

from lagoonwing_catalog.messages import PermitDemand, PermitGrant, ServiceDemand
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import EndpointId, FailureDomainId, HostId, MemberId, ServiceId
from lagoonwing_registry._permit_issuer import LimitedEndpoint, PermitIssuer
from lagoonwing_registry.const import ISSUED_SHARE, MIN_PERMIT_RATE

SERVICE = ServiceId("s")
DOMAIN = FailureDomainId("d-1")
FIRST, SECOND = HostId("g-1"), HostId("g-2")
PATIENCE_S = 10.0


def _endpoints(rate: float, count: int = 1) -> dict[ServiceId, list[LimitedEndpoint]]:
    """Return limited endpoints of one service."""
    return {
        SERVICE: [
            LimitedEndpoint(EndpointId(f"e-{number}"), DOMAIN, rate) for number in range(count)
        ]
    }


def _ask(
    issuer: PermitIssuer,
    gateway_id: HostId,
    waiting: dict[str, int],
    *,
    started: dict[str, int] | None = None,
    received: int = 0,
    expected: int = 0,
) -> None:
    """Tell the issuer what a gateway wants."""
    demand = ServiceDemand(
        received,
        expected,
        {MemberId(member): count for member, count in (started or {}).items()},
        {MemberId(member): count for member, count in waiting.items()},
        PATIENCE_S,
    )
    issuer.update(gateway_id, DOMAIN, PermitDemand(1, {SERVICE: demand}))


def _members(grants: dict[HostId, PermitGrant]) -> list[tuple[HostId, str | None]]:
    """Return gateway and member of each permit."""
    return [
        (gateway_id, permit.member_id)
        for gateway_id, grant in grants.items()
        for permit in grant.grant_by_service[SERVICE].permits
    ]


@pytest.mark.parametrize("rate", [0.5, 3.0, 50.0])
def test_permits_never_pass_the_limit(rate: float) -> None:
    """However much is wanted and however often it is asked, the rate holds."""
    clock = ManualClock(1.0)
    issuer = PermitIssuer(clock)
    issued = 0
    for _ in range(1_000):
        clock.advance(0.02)
        _ask(issuer, FIRST, {"a": 500}, received=issued)
        issued += len(_members(issuer.issue(_endpoints(rate))))
    assert rate * ISSUED_SHARE * 20.0 - 2 <= issued <= rate * 20.0 + 1


def test_members_take_turns_and_started_streams_go_first() -> None:
    """One member's flood delays another's request by one turn only."""
    clock = ManualClock(1.0)
    issuer = PermitIssuer(clock)
    order: list[str | None] = []
    issuer.issue(_endpoints(1.0))
    for _ in range(4):
        clock.advance(1.06)
        received = sum(member != "flood" for member in order)
        started = {} if "late" in order else {"late": 1}
        waiting = {} if "light" in order else {"light": 1}
        _ask(issuer, FIRST, {"flood": 100}, received=len(order) - received)
        _ask(issuer, SECOND, waiting, started=started, received=received)
        order += [member for _, member in _members(issuer.issue(_endpoints(1.0)))]
    assert order == ["late", "flood", "light", "flood"]


def test_permits_on_their_way_are_not_issued_again() -> None:
    """A gateway that repeats its demand before the permit arrives gets no second one."""
    clock = ManualClock(1.0)
    issuer = PermitIssuer(clock)
    issuer.issue(_endpoints(10.0))
    clock.advance(1.0)
    _ask(issuer, FIRST, {"a": 1})
    assert len(_members(issuer.issue(_endpoints(10.0)))) == 1
    _ask(issuer, FIRST, {"a": 1})
    assert _members(issuer.issue(_endpoints(10.0))) == []
    _ask(issuer, FIRST, {"a": 1}, received=1)
    assert len(_members(issuer.issue(_endpoints(10.0)))) == 1


def test_waiting_requests_come_before_expected_ones() -> None:
    """A permit for later is issued only if no request waits for it."""
    clock = ManualClock(1.0)
    issuer = PermitIssuer(clock)
    issuer.issue(_endpoints(1.0))
    clock.advance(2.0)
    _ask(issuer, FIRST, {}, expected=1)
    _ask(issuer, SECOND, {"a": 1})
    assert _members(issuer.issue(_endpoints(1.0))) == [(SECOND, "a")]


def test_promises_name_what_comes_within_the_patience() -> None:
    """As many requests are promised a permit as will be issued in time, the others none."""
    clock = ManualClock(1.0)
    issuer = PermitIssuer(clock)
    issuer.issue(_endpoints(1.0))
    _ask(issuer, FIRST, {"a": 100})
    grants = issuer.issue(_endpoints(1.0), frozenset({FIRST}))
    grant = grants[FIRST].grant_by_service[SERVICE]
    assert grant.promised_by_member == {"a": int(ISSUED_SHARE * PATIENCE_S)}
    assert grant.backlog_s == pytest.approx(101 / ISSUED_SHARE)


def test_a_limit_of_zero_leaves_a_trial_now_and_then() -> None:
    """Otherwise the end of the limit could never be heard."""
    clock = ManualClock(1.0)
    issuer = PermitIssuer(clock)
    issuer.issue(_endpoints(0.0))
    clock.advance(1.01 / MIN_PERMIT_RATE)
    _ask(issuer, FIRST, {"a": 5})
    assert len(_members(issuer.issue(_endpoints(0.0)))) == 1
