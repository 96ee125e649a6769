"""Weights of members at this entry host."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonwing_core.ids import MemberId
from lagoonwing_core.models import Agreement
from lagoonwing_policy.fairness.models import MemberShare


class MemberWeights:
    """The agreement's weight times the part of the member's work that sits here."""

    def __init__(self) -> None:
        self._weight_by_member: dict[MemberId, float] = {}
        self._share_by_member: dict[MemberId, MemberShare] = {}

    def set_agreements(self, agreements: Iterable[Agreement]) -> None:
        """Replace the agreements' weights."""
        self._weight_by_member = {agreement.member_id: agreement.weight for agreement in agreements}

    def set_shares(self, shares: Iterable[MemberShare]) -> None:
        """Replace the shares."""
        self._share_by_member = {share.member_id: share for share in shares}

    def agreement_weight(self, member_id: MemberId) -> float:
        """Return the weight of a member's agreement."""
        return self._weight_by_member.get(member_id, 1.0)

    def weight(self, member_id: MemberId, now: float) -> float:
        """Return a member's weight here; without news of other entry hosts it counts whole."""
        weight = self.agreement_weight(member_id)
        share = self._share_by_member.get(member_id)
        if share is None or now >= share.expires:
            return weight
        return weight * min(1.0, max(0.0, share.share))
