"""Rates and percentiles over time windows of a run."""

from __future__ import annotations

import numpy as np

from lagoonctl.load import LoadReport, RequestResult
from lagoonwing_core.ids import MemberId


def tokens_per_s(
    results: list[RequestResult], start_s: float, end_s: float, member_id: MemberId | None = None
) -> float:
    """Return the token rate in a time window, for one member or all."""
    count = 0
    for result in results:
        if member_id is not None and result.planned.member.member_id != member_id:
            continue
        count += sum(start_s <= at_s < end_s for at_s in result.token_times_s)
    return count / (end_s - start_s)


def first_token_p95_s(
    results: list[RequestResult], start_s: float, end_s: float, excluded: MemberId | None = None
) -> float:
    """Return the p95 time to first token of the requests sent in a time window.

    A request without a first token counts as infinite.
    """
    waits = [
        np.inf if result.first_token_s is None else result.first_token_s
        for result in results
        if start_s <= result.planned.at_s < end_s and result.planned.member.member_id != excluded
    ]
    if not waits:
        return float("nan")
    return float(np.percentile(waits, 95, method="higher"))


def recovery_time_s(report: LoadReport, loss_s: float, share: float, window_s: float) -> float:
    """Return the time from a loss until the token rate has recovered.

    The rate after the loss is measured over a sliding window and compared with the rate before.

    Args:
        report: Report of the run.
        loss_s: Time of the loss from the start of the run.
        share: Share of the earlier rate that counts as recovered.
        window_s: Length of the window.

    Returns:
        Seconds from the loss to the end of the first window that reaches the share, or infinity
        if there is none.
    """
    times = np.sort(np.array([at_s for result in report.results for at_s in result.token_times_s]))
    rate_before = _rate(times, loss_s - 2 * window_s, loss_s)
    step = window_s / 10
    end = loss_s + step
    while end < report.plan.duration_s:
        start = max(loss_s, end - window_s)
        if end - start >= window_s / 2 and _rate(times, start, end) >= share * rate_before:
            return end - loss_s
        end += step
    return float("inf")


def _rate(times: np.ndarray, start_s: float, end_s: float) -> float:
    """Return the event rate in a time window, given sorted times."""
    first, last = np.searchsorted(times, [start_s, end_s])
    return float(last - first) / (end_s - start_s)
