"""Division of capacity among entry hosts: fair to members cluster-wide, with correct sums."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonwing_core.ids import AgreementId, EndpointId, HostId, MemberId, Revision
from lagoonwing_core.models import Agreement, EntityState, Member
from lagoonwing_policy import Scheduler, SchedulerSettings
from lagoonwing_policy.models import CapDimension, MemberDemand
from lagoonwing_policy.routing._quotas import QuotaTable
from lagoonwing_policy.sharing import MemberWork, SharingSystem, divide_pool, max_min_allocation

POOL = "model/m"
HOSTS = [HostId(f"host-{number}") for number in range(4)]


def _row(member: str, requests: float, weight: float = 1.0) -> MemberWork:
    return MemberWork(POOL, MemberId(member), requests, weight)


def _exchange_reports(rows_by_host: dict[HostId, list[MemberWork]], now: float = 0.0):
    """Return the systems of all hosts after they have received each other's reports."""
    systems = {host: SharingSystem(host) for host in HOSTS}
    for host, system in systems.items():
        for other in systems.values():
            other.receive(host, system.make_report(rows_by_host.get(host, [])), now)
    return systems


def _shares(systems, rows_by_host, slots: float, now: float = 0.0):
    return {
        host: system.shares(rows_by_host.get(host, []), HOSTS, {POOL: slots}, now)
        for host, system in systems.items()
    }


def test_surge_at_one_host_does_not_reduce_other_members_shares() -> None:
    """Other members keep their weighted share of all slots, wherever the surge arrives."""
    rows = {
        HOSTS[0]: [_row("surging", 1000.0), _row("a", 50.0)],
        HOSTS[1]: [_row("a", 50.0)],
        HOSTS[2]: [_row("b", 100.0)],
    }
    division = divide_pool(100.0, {host: rows.get(host, []) for host in HOSTS})
    assert division.slots_by_member == pytest.approx({"surging": 30.0, "a": 30.0, "b": 30.0})
    assert division.slots_by_host[HOSTS[1]] == pytest.approx(15.0 + 2.5)
    assert division.slots_by_host[HOSTS[2]] == pytest.approx(30.0 + 2.5)
    assert division.slots_by_host[HOSTS[3]] == pytest.approx(2.5)


def test_idle_capacity_is_used_by_others() -> None:
    """Slots that a member doesn't need go to members with more work."""
    division = divide_pool(100.0, {HOSTS[0]: [_row("a", 500.0)], HOSTS[1]: [_row("b", 10.0)]})
    assert division.slots_by_member == pytest.approx({"a": 80.0, "b": 10.0})


@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5), st.integers(1, 400)), max_size=24),
    st.integers(1, 60),
    st.integers(1, 200),
)
def test_quotas_add_up_to_the_limit(work, endpoints: int, limit: int) -> None:
    """The quotas of hosts with the same reports add up to the limit of each endpoint."""
    rows: dict[HostId, list[MemberWork]] = {}
    for host, member, requests in work:
        rows.setdefault(HOSTS[host], []).append(_row(f"m{member}", float(requests)))
    shares = _shares(_exchange_reports(rows), rows, float(endpoints * limit))
    for number in range(min(endpoints, 5)):
        endpoint_id = EndpointId(f"endpoint-{number}")
        total = 0
        for share in shares.values():
            table = QuotaTable(entry_hosts=4)
            part = share.span_by_pool.get(POOL, share.even_span)
            table.replace({endpoint_id: part}, share.even_span)
            total += table.quota(endpoint_id, float(limit))
        assert total == limit


@given(st.dictionaries(st.integers(0, 20), st.tuples(st.integers(0, 100), st.integers(1, 9))))
def test_max_min_allocation_is_bounded_by_demand_and_amount(members) -> None:
    """No member exceeds its demand, and the total is the smaller of demand and amount."""
    demand = {MemberId(str(key)): float(value[0]) for key, value in members.items()}
    weight = {MemberId(str(key)): float(value[1]) for key, value in members.items()}
    result = max_min_allocation(90.0, demand, weight)
    assert all(result[key] <= demand[key] + 1e-9 for key in demand)
    expected = min(90.0, sum(demand.values()))
    assert sum(result.values()) == pytest.approx(expected)


def test_expired_report_is_ignored() -> None:
    """A host without recent reports keeps its even share; the rest goes to other hosts."""
    rows = {HOSTS[0]: [_row("a", 100.0)], HOSTS[1]: [_row("b", 100.0)]}
    systems = _exchange_reports(rows)
    early = systems[HOSTS[0]].shares(rows[HOSTS[0]], HOSTS, {POOL: 100.0}, 0.5)
    late = systems[HOSTS[0]].shares(rows[HOSTS[0]], HOSTS, {POOL: 100.0}, 1.5)
    settled = systems[HOSTS[0]].shares(rows[HOSTS[0]], HOSTS, {POOL: 100.0}, 6.0)
    assert early.span_by_pool[POOL].size == pytest.approx(0.475)
    assert 0.8 < late.span_by_pool[POOL].size < 0.925
    assert settled.span_by_pool[POOL].size == pytest.approx(0.925, abs=1e-4)


def test_single_host_uses_all_capacity() -> None:
    """Without other hosts, this host uses the whole pool."""
    system = SharingSystem(HOSTS[0])
    shares = system.shares([_row("a", 3.0)], [], {POOL: 10.0}, 0.0)
    assert (shares.span_by_pool[POOL].start, shares.span_by_pool[POOL].end) == (0.0, 1.0)
    assert (shares.even_span.start, shares.even_span.end) == (0.0, 1.0)


def test_shares_follow_the_work_within_a_second() -> None:
    """A host that lost its work releases its share gradually; the shares always sum to 1."""
    rows = {HOSTS[0]: [_row("a", 400.0)], HOSTS[1]: [_row("a", 400.0)]}
    systems = _exchange_reports(rows)
    before = _shares(systems, rows, 100.0)
    moved = {HOSTS[0]: [_row("a", 800.0)]}
    sizes = []
    for step in range(1, 11):
        now = step / 10
        for host, system in systems.items():
            for other in systems.values():
                other.receive(host, system.make_report(moved.get(host, [])), now)
        shares = _shares(systems, moved, 100.0, now)
        assert sum(share.span_by_pool[POOL].size for share in shares.values()) == pytest.approx(1.0)
        sizes.append(shares[HOSTS[0]].span_by_pool[POOL].size)
    assert before[HOSTS[0]].span_by_pool[POOL].size == pytest.approx(0.475)
    assert sizes == sorted(sizes)
    assert sizes[0] < 0.62
    assert sizes[-1] > 0.85


def test_random_differences_do_not_move_shares() -> None:
    """Work spread nearly evenly, as by a load balancer, leaves all shares unchanged."""
    generator = random.Random(1)
    systems = _exchange_reports({host: [_row("a", 100.0)] for host in HOSTS})
    sizes = set()
    for step in range(50):
        rows = {host: [_row("a", 100.0 + generator.uniform(-15.0, 15.0))] for host in HOSTS}
        for host, system in systems.items():
            for other in systems.values():
                other.receive(host, system.make_report(rows[host]), step / 10)
        shares = _shares(systems, rows, 100.0, step / 10)
        if step:
            sizes.add(shares[HOSTS[0]].span_by_pool[POOL].size)
    assert len(sizes) == 1


def test_part_of_every_cap_is_requested_in_advance() -> None:
    """A host without work requests part of each cap in case no leader can grant it later."""
    scheduler = Scheduler(SchedulerSettings(), seed=1)
    member = Member(
        member_id=MemberId("a"),
        name="a",
        key_hashes=(),
        state=EntityState.ACTIVE,
        revision=Revision(1),
    )
    agreement = Agreement(
        agreement_id=AgreementId("a-1"),
        member_id=member.member_id,
        weight=1.0,
        max_concurrency=8,
        max_requests_per_s=None,
        max_tokens_per_s=None,
        state=EntityState.ACTIVE,
        revision=Revision(2),
    )
    scheduler.set_agreements([agreement], [member], [], [], [], 0.0)
    assert scheduler.demand(0.1) == [
        MemberDemand(member.member_id, CapDimension.CONCURRENCY, used=0.0, wanted=0.0)
    ]
