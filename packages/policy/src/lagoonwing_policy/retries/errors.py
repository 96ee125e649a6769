"""Refusals of retries."""

from __future__ import annotations

from lagoonwing_core.errors import Refusal
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy.models import AttemptFailed, Dispatch


def budget_exhausted(failed: AttemptFailed) -> Refusal:
    """Return why a retry beyond the budget is not made.

    What may have run keeps its own failure, for it must not be called not run.
    """
    if failed.dispatch is Dispatch.MAY_HAVE_RUN:
        return failed.refusal
    detail = f"retry budget spent after: {failed.refusal.detail}"
    return Refusal(ResultCode.RETRY_BUDGET_SPENT, detail, failed.retry_after)
