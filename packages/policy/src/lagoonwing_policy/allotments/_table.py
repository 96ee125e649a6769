"""Limits of all members at this entry host."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonwing_core.ids import MemberId
from lagoonwing_core.models import Agreement
from lagoonwing_policy.allotments._member import MemberLimits
from lagoonwing_policy.allotments.models import (
    Allotments,
    LimitPolicy,
    StartAllowed,
    StartBlocked,
    StartVerdict,
)
from lagoonwing_policy.models import AllotmentGrant, CapDimension


class AllotmentTable:
    """Enforces the caps of all members by the grants held by this host."""

    def __init__(self, policy: LimitPolicy) -> None:
        self._enforced = isinstance(policy, Allotments)
        self._policy = policy if isinstance(policy, Allotments) else Allotments()
        self._limits_by_member: dict[MemberId, MemberLimits] = {}

    def get(self, member_id: MemberId) -> MemberLimits | None:
        """Return the limits of a member, None if its agreement is not in force."""
        limits = self._limits_by_member.get(member_id)
        return limits if limits is not None and limits.active else None

    def active_members(self) -> list[MemberId]:
        """Return the members with an agreement in force."""
        return [member_id for member_id, limits in self._limits_by_member.items() if limits.active]

    def is_capped(self, member_id: MemberId) -> bool:
        """Return whether any cap of the member is enforced."""
        limits = self.get(member_id)
        if limits is None or not self._enforced:
            return False
        return any(limits.cap(dimension) is not None for dimension in CapDimension)

    def set_agreements(self, agreements: Iterable[Agreement], now: float) -> None:
        """Replace the agreements.

        Running requests stay counted when an agreement ends, because the member may get a new
        agreement while they are still running.
        """
        agreement_by_member = {agreement.member_id: agreement for agreement in agreements}
        for member_id, limits in list(self._limits_by_member.items()):
            limits.active = member_id in agreement_by_member
            if not limits.active and not limits.running:
                del self._limits_by_member[member_id]
        for member_id, agreement in agreement_by_member.items():
            known = self._limits_by_member.get(member_id)
            if known is None:
                self._limits_by_member[member_id] = MemberLimits.create(agreement, self._policy)
            elif known.agreement != agreement:
                known.apply_agreement(agreement, now)

    def set_grants(self, grants: Iterable[AllotmentGrant], now: float) -> set[MemberId]:
        """Apply grants; return the affected members."""
        affected: set[MemberId] = set()
        for grant in grants:
            limits = self.get(grant.member_id)
            if limits is not None:
                limits.apply_grant(grant, now)
                affected.add(grant.member_id)
        return affected

    def check_start(self, member_id: MemberId, tokens: float, now: float) -> StartVerdict:
        """Return whether a member's caps allow a request to start."""
        limits = self.get(member_id)
        if limits is None:
            return StartBlocked(None)
        if not self._enforced:
            return StartAllowed()
        return limits.check_start(tokens, now)

    def count_start(self, member_id: MemberId, tokens: float) -> None:
        """Count a started request."""
        limits = self._limits_by_member[member_id]
        limits.count_start(tokens)

    def may_start_retry(self, member_id: MemberId, now: float) -> bool:
        """Return whether a counted request may be retried, i.e. its grants are in force."""
        limits = self.get(member_id)
        if limits is None:
            return False
        if not self._enforced:
            return True
        return all(
            limits.cap(dimension) is None or limits.held(dimension, now) > 0.0
            for dimension in CapDimension
        )

    def spend_tokens(self, member_id: MemberId, tokens: float) -> None:
        """Charge tokens beyond those counted at the start; a negative number is a refund."""
        limits = self._limits_by_member.get(member_id)
        if limits is not None and self._enforced:
            limits.spend(CapDimension.TOKENS_PER_S, tokens)

    def finish(self, member_id: MemberId) -> None:
        """Stop counting a request against the concurrency cap."""
        limits = self._limits_by_member.get(member_id)
        if limits is None:
            return
        limits.running -= 1
        if not limits.running and not limits.active:
            del self._limits_by_member[member_id]

    def excessive_wait(
        self, member_id: MemberId, requests: int, tokens: float, now: float
    ) -> float | None:
        """Return the expected wait for the member's caps if it is too long to queue.

        Args:
            member_id: The member.
            requests: Queued requests, including the new one.
            tokens: Tokens of these requests.
            now: Time in seconds.

        Returns:
            Wait in seconds, or None if the request may be queued.
        """
        limits = self.get(member_id)
        if limits is None or not self._enforced:
            return None
        wait = limits.wait_for_rates(requests, tokens, now)
        if requests > self._policy.min_queue and wait > self._policy.max_wait_s:
            return wait
        if limits.cap(CapDimension.CONCURRENCY) is None:
            return None
        held = limits.held(CapDimension.CONCURRENCY, now)
        room = max(self._policy.min_queue, self._policy.queue_per_concurrency * held)
        at_cap = limits.running + 1 > held
        return self._policy.max_wait_s if at_cap and requests > room else None
