"""Weights of members at this entry host."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonwing_core.ids import MemberId
from lagoonwing_core.models import Agreement
from lagoonwing_policy.fairness.models import MemberShare


class MemberWeights:
    """Weights of agreements, scaled by the share of each member's work at this host."""

    def __init__(self) -> None:
        self._weight_by_member: dict[MemberId, float] = {}
        self._share_by_member: dict[MemberId, MemberShare] = {}

    def set_agreements(self, agreements: Iterable[Agreement]) -> None:
        """Replace the weights of the agreements."""
        self._weight_by_member = {agreement.member_id: agreement.weight for agreement in agreements}

    def set_shares(self, shares: Iterable[MemberShare]) -> None:
        """Replace the shares."""
        self._share_by_member = {share.member_id: share for share in shares}

    def agreement_weight(self, member_id: MemberId) -> float:
        """Return the weight of a member's agreement."""
        return self._weight_by_member.get(member_id, 1.0)

    def weight(self, member_id: MemberId, now: float) -> float:
        """Return a member's weight at this host; without a valid share, the full weight."""
        weight = self.agreement_weight(member_id)
        share = self._share_by_member.get(member_id)
        if share is None or now >= share.expires:
            return weight
        return weight * min(1.0, max(0.0, share.share))
