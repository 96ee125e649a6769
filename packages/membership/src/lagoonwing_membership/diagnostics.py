"""Membership counts for the status page and the metrics."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from lagoonwing_membership._coordinator import Membership
from lagoonwing_membership.models import HostState


@dataclass(frozen=True, slots=True)
class MembershipDiagnostics:
    """Snapshot of the membership counts."""

    hosts_alive: int
    hosts_suspect: int
    hosts_lost: int
    endpoints: int


def get_diagnostics(membership: Membership, now: float) -> MembershipDiagnostics:
    """Return the number of hosts by state and of endpoints eligible for work."""
    count_by_state = Counter(view.state for view in membership.hosts(now))
    return MembershipDiagnostics(
        hosts_alive=count_by_state[HostState.ALIVE],
        hosts_suspect=count_by_state[HostState.SUSPECT],
        hosts_lost=count_by_state[HostState.LOST],
        endpoints=len(membership.endpoints(now)),
    )
