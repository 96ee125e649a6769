"""Grants and usage of one member's caps at this entry host."""

from __future__ import annotations

from dataclasses import dataclass, field

from lagoonwing_core.models import Agreement
from lagoonwing_policy.allotments._bucket import TokenBucket
from lagoonwing_policy.allotments.models import (
    Allotments,
    StartAllowed,
    StartBlocked,
    StartVerdict,
)
from lagoonwing_policy.models import AllotmentGrant, CapDimension

# Tolerance for rounding errors of divided and summed amounts.
AMOUNT_TOLERANCE = 1e-9
# Time in which a rate's debt is to be repaid.
DEBT_REPAYMENT_S = 1.0


@dataclass(slots=True)
class HeldGrant:
    """Grant of one dimension.

    Attributes:
        amount: Granted amount.
        expires: Time after which no new request may start under the grant.
    """

    amount: float = 0.0
    expires: float = 0.0


@dataclass(slots=True)
class MemberLimits:
    """Agreement, grants and usage of one member.

    Attributes:
        running: Number of requests that count against the concurrency cap.
        active: Whether the agreement is in force.
    """

    agreement: Agreement
    requests: TokenBucket
    tokens: TokenBucket
    running: int = 0
    active: bool = True
    holding: dict[CapDimension, HeldGrant] = field(default_factory=dict)

    @classmethod
    def create(cls, agreement: Agreement, policy: Allotments) -> MemberLimits:
        """Create the limits of a member without grants."""
        return cls(
            agreement,
            requests=TokenBucket(policy.burst_s, min_capacity=1.0),
            tokens=TokenBucket(policy.burst_s, min_capacity=1.0),
        )

    def cap(self, dimension: CapDimension) -> float | None:
        """Return the agreement's cap, None if the dimension is not capped."""
        match dimension:
            case CapDimension.CONCURRENCY:
                return self.agreement.max_concurrency
            case CapDimension.REQUESTS_PER_S:
                return self.agreement.max_requests_per_s
            case CapDimension.TOKENS_PER_S:
                return self.agreement.max_tokens_per_s

    def bucket(self, dimension: CapDimension) -> TokenBucket | None:
        """Return the token bucket of a rate, None for concurrency."""
        match dimension:
            case CapDimension.CONCURRENCY:
                return None
            case CapDimension.REQUESTS_PER_S:
                return self.requests
            case CapDimension.TOKENS_PER_S:
                return self.tokens

    def held(self, dimension: CapDimension, now: float) -> float:
        """Return the granted amount, limited to the cap; 0 after the grant expired."""
        holding = self.holding.get(dimension)
        if holding is None or now >= holding.expires:
            return 0.0
        cap = self.cap(dimension)
        return holding.amount if cap is None else min(cap, holding.amount)

    def apply_grant(self, grant: AllotmentGrant, now: float) -> None:
        """Replace the grant of its dimension."""
        self._advance_bucket(grant.dimension, now)
        self.holding[grant.dimension] = HeldGrant(grant.amount, grant.expires)
        bucket = self.bucket(grant.dimension)
        if bucket is not None:
            bucket.set_rate(self.held(grant.dimension, now), now)

    def apply_agreement(self, agreement: Agreement, now: float) -> None:
        """Replace the agreement; a lowered cap lowers the rates at once."""
        for dimension in CapDimension:
            self._advance_bucket(dimension, now)
        self.agreement = agreement
        for dimension in CapDimension:
            bucket = self.bucket(dimension)
            if bucket is not None:
                bucket.set_rate(self.held(dimension, now), now)

    def check_start(self, tokens: float, now: float) -> StartVerdict:
        """Return whether all caps allow a start, and if not, when to check again."""
        until = now
        for dimension in CapDimension:
            if self.cap(dimension) is None:
                continue
            ready = self._earliest_start(dimension, tokens, now)
            if ready is None:
                return StartBlocked(None)
            until = max(until, ready)
        return StartBlocked(until) if until > now else StartAllowed()

    def count_start(self, tokens: float) -> None:
        """Count a started request against every cap."""
        self.running += 1
        self.spend(CapDimension.REQUESTS_PER_S, 1.0)
        self.spend(CapDimension.TOKENS_PER_S, tokens)

    def spend(self, dimension: CapDimension, amount: float) -> None:
        """Charge a capped rate; uncapped rates accumulate no debt."""
        bucket = self.bucket(dimension)
        if bucket is not None and self.cap(dimension) is not None:
            bucket.spend(amount)

    def used(self, dimension: CapDimension, now: float) -> float:
        """Return the amount that can't be released yet: running requests or a rate's debt."""
        bucket = self.bucket(dimension)
        if bucket is None:
            return float(self.running)
        self._advance_bucket(dimension, now)
        debt = max(0.0, -bucket.level)
        return min(self.held(dimension, now), debt / DEBT_REPAYMENT_S)

    def wait_for_rates(self, requests: float, tokens: float, now: float) -> float:
        """Return the seconds until the rates cover these queued requests and tokens."""
        wait = 0.0
        for dimension, need in (
            (CapDimension.REQUESTS_PER_S, requests),
            (CapDimension.TOKENS_PER_S, tokens),
        ):
            held = self.held(dimension, now)
            bucket = self.bucket(dimension)
            if self.cap(dimension) is None or bucket is None or held <= 0.0:
                continue
            self._advance_bucket(dimension, now)
            wait = max(wait, (need - bucket.level) / held)
        return wait

    def _earliest_start(self, dimension: CapDimension, tokens: float, now: float) -> float | None:
        """Return when a dimension allows a start, None if that depends on an event."""
        amount = self.held(dimension, now)
        if amount <= 0.0:
            return None
        bucket = self.bucket(dimension)
        if bucket is None:
            return now if self.running + 1 <= amount + AMOUNT_TOLERANCE else None
        self._advance_bucket(dimension, now)
        need = 1.0 if dimension is CapDimension.REQUESTS_PER_S else tokens
        return now if bucket.covers(need) else bucket.covered_at(need)

    def _advance_bucket(self, dimension: CapDimension, now: float) -> None:
        """Refill the bucket up to `now`, but not beyond the expiry of the grant."""
        bucket = self.bucket(dimension)
        holding = self.holding.get(dimension)
        if bucket is not None and holding is not None:
            bucket.advance(min(now, holding.expires))
