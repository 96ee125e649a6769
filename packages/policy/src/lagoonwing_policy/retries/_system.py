"""Decides whether and when failed attempts are retried."""

from __future__ import annotations

import random

from lagoonwing_core.ids import Attempt
from lagoonwing_policy._protocols import GiveUp, RetryAt
from lagoonwing_policy.models import AttemptFailed, Dispatch, RequestProfile
from lagoonwing_policy.retries import errors
from lagoonwing_policy.retries._budget import RetryBudget
from lagoonwing_policy.retries.models import BudgetedRetries, FixedRetries, RetryPolicy


class RetrySystem:
    """Retries requests without risk of repeated effects, within budget and deadline."""

    def __init__(self, policy: RetryPolicy, rng: random.Random) -> None:
        """Create the system.

        Args:
            policy: Limits and delays of retries.
            rng: Source of jitter.
        """
        self._policy = policy
        self._rng = rng
        self._budget = RetryBudget(policy) if isinstance(policy, BudgetedRetries) else None

    def on_first_attempt(self, now: float) -> None:
        """Credit the budget for a first attempt.

        Args:
            now: Time in seconds.
        """
        if self._budget is not None:
            self._budget.credit(now)

    def decide(
        self, profile: RequestProfile, attempt: Attempt, failed: AttemptFailed, now: float
    ) -> RetryAt | GiveUp:
        """Decide on the next attempt.

        Args:
            profile: Profile of the request.
            attempt: Number of the attempt that failed.
            failed: Failure of the attempt.
            now: Time in seconds.

        Returns:
            The time of the next attempt, before the deadline, or the refusal to answer with.
        """
        if not _may_retry(profile, failed) or attempt >= self._policy.max_attempts:
            return GiveUp(failed.refusal)
        retry_time = now + self._delay(attempt, failed)
        if retry_time >= profile.deadline:
            return GiveUp(failed.refusal)
        if self._budget is not None and not self._budget.spend(now):
            return GiveUp(errors.budget_exhausted(failed))
        return RetryAt(retry_time)

    def _delay(self, attempt: Attempt, failed: AttemptFailed) -> float:
        """Return the seconds until the next attempt."""
        requested_s = failed.retry_after or 0.0
        match self._policy:
            case BudgetedRetries(backoff_base_s=base_s, backoff_max_s=max_delay_s):
                # Full jitter, so that simultaneous failures are not retried simultaneously.
                return requested_s + self._rng.uniform(
                    0.0, min(max_delay_s, base_s * 2.0 ** (attempt - 1))
                )
            case FixedRetries(delay_s=delay_s):
                return max(requested_s, delay_s)


def _may_retry(profile: RequestProfile, failed: AttemptFailed) -> bool:
    """Return whether a retry can neither repeat an effect nor duplicate part of the answer."""
    if failed.dispatch is Dispatch.MAY_HAVE_RUN and not profile.idempotent:
        return False
    return not failed.bytes_reached_caller or failed.resumable_tokens > 0
