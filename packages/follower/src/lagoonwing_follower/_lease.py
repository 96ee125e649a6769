"""Configuration lease, and its extension while no leader exists. No I/O except logging."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import HostId, Revision
from lagoonwing_follower.const import DOWN_TIMEOUT_S, EVIDENCE_MAX_AGE_S, MAX_REFUSAL_GAP_S


@dataclass(frozen=True, slots=True)
class Answered:
    """Evidence that a voter answered a probe.

    Attributes:
        sent: Time at which the probe was sent.
        knows_leader: Whether the voter leads under a lease or was recently contacted by a leader.
        applied: Revision that the voter has applied.
    """

    sent: float
    knows_leader: bool
    applied: Revision


@dataclass(frozen=True, slots=True)
class Refusing:
    """Evidence that a voter's address refuses connections: its process is down, its host is up.

    Attributes:
        first: Time of the first refusal of an uninterrupted series.
        last: Time of the last connection attempt.
    """

    first: float
    last: float

    def refused_again(self, tried: float) -> Refusing:
        """Return the evidence after one more refusal."""
        if tried - self.last > MAX_REFUSAL_GAP_S:
            return Refusing(tried, tried)
        return Refusing(self.first, tried)


@dataclass(frozen=True, slots=True)
class DeclaredLost:
    """Evidence that an operator declared the voter's host lost, as reported by another voter.

    Attributes:
        sent: Time at which the probe that returned the report was sent.
    """

    sent: float


VoterEvidence = Answered | Refusing | DeclaredLost


def min_unseen_majority(voter_count: int) -> int:
    """Return the smallest number of unseen voters that could form a majority.

    The removal of one voter may itself be unseen, so a majority of one voter fewer counts.
    """
    return (voter_count - 1) // 2 + 1


def leaderless_until(
    voters: tuple[HostId, ...],
    evidence_by_voter: Mapping[HostId, VoterEvidence],
    applied: Revision,
    now: float,
) -> float | None:
    """Return the time up to which no unseen leader can exist.

    Args:
        voters: Voting replicas as reported by the last leader.
        evidence_by_voter: Latest evidence of each voter.
        applied: Revision of the caller's own view.
        now: Time of the runtime's clock.

    Returns:
        The time of the oldest evidence needed, or `None` while the unseen voters may form a
        majority.
    """
    if not voters:
        return None
    times = [
        time
        for voter in voters
        if (time := _ruled_out_at(evidence_by_voter.get(voter), applied, now)) is not None
    ]
    needed = len(voters) - (min_unseen_majority(len(voters)) - 1)
    if len(times) < needed:
        return None
    return sorted(times, reverse=True)[needed - 1]


def is_operator_confirmed(
    voters: tuple[HostId, ...], evidence_by_voter: Mapping[HostId, VoterEvidence], now: float
) -> bool:
    """Return whether the evidence includes an operator's declaration that a voter is lost."""
    return any(
        isinstance(evidence, DeclaredLost) and now - evidence.sent <= EVIDENCE_MAX_AGE_S
        for voter in voters
        if (evidence := evidence_by_voter.get(voter)) is not None
    )


def _ruled_out_at(evidence: VoterEvidence | None, applied: Revision, now: float) -> float | None:
    """Return the time at which a voter was provably not part of an unseen majority."""
    match evidence:
        case Answered(sent=sent, knows_leader=False) if evidence.applied <= applied:
            time = sent
        case Refusing(first=first, last=last) if last - first >= DOWN_TIMEOUT_S:
            time = last
        case DeclaredLost(sent=sent):
            time = sent
        case _:
            return None
    return time if now - time <= EVIDENCE_MAX_AGE_S else None


class ConfigurationLease:
    """Lease that permits new work while the view is recent enough."""

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._applied = Revision(-1)
        self._renewed_at: float | None = None
        self._pending_contacts: list[tuple[float, Revision]] = []

    def record_contact(self, sent: float, revision: Revision) -> None:
        """Record a leader's reply; it renews the lease once its revision is applied."""
        self._pending_contacts.append((sent, revision))
        self._apply_pending()

    def record_applied(self, revision: Revision) -> None:
        """Record that the view has reached a revision."""
        self._applied = max(self._applied, revision)
        self._apply_pending()

    def extend(
        self, leaderless_time: float, now: float, *, operator_confirmed: bool = False
    ) -> None:
        """Extend the lease while it is proven that no unseen leader exists.

        Args:
            leaderless_time: Time up to which no unseen leader can exist.
            now: Time of the runtime's clock.
            operator_confirmed: Whether an operator declared a voter lost; only then is a lapsed
                lease renewed, as nothing else rules out a leader in the meantime.
        """
        if self._renewed_at is not None and (operator_confirmed or self.in_force(now)):
            self._renewed_at = max(self._renewed_at, leaderless_time)

    def in_force(self, now: float) -> bool:
        """Return whether the lease is valid."""
        return self._renewed_at is not None and now < self._renewed_at + self._lease_s

    def _apply_pending(self) -> None:
        """Renew the lease from contacts whose revision is applied."""
        for sent, revision in self._pending_contacts:
            if revision <= self._applied:
                self._renewed_at = sent if self._renewed_at is None else max(self._renewed_at, sent)
        self._pending_contacts = [
            item for item in self._pending_contacts if item[1] > self._applied
        ][-16:]


def log_lease(in_force: bool, revision: Revision, leader: HostId | None) -> None:
    """Log that the lease has lapsed or was regained."""
    if in_force:
        log_event(EventCode.CONFIGURATION_LEASE_REGAINED, revision=revision, leader=leader or "")
    else:
        log_event(EventCode.CONFIGURATION_LEASE_LAPSED, revision=revision, leader=leader or "")
