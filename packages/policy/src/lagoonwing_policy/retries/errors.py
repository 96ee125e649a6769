"""Refusals of retries."""

from __future__ import annotations

from lagoonwing_core.errors import Refusal
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy.models import AttemptFailed, Dispatch


def budget_exhausted(failed: AttemptFailed) -> Refusal:
    """Return the refusal for a retry that exceeds the budget.

    An attempt that may have run keeps its own failure, because the refusal would report it as
    not run.
    """
    if failed.dispatch is Dispatch.MAY_HAVE_RUN:
        return failed.refusal
    detail = f"retry budget spent after: {failed.refusal.detail}"
    return Refusal(ResultCode.RETRY_BUDGET_SPENT, detail, failed.retry_after)
