"""Renders a report as a table or as JSON."""

from __future__ import annotations

from typing import Any

import msgspec

from lagoonctl.load.const import PERCENTILES
from lagoonctl.load.models import LoadReport, MemberReport, percentile_s
from lagoonwing_core.result_codes import Outcome

_MILLISECONDS_PER_S = 1000


def table_headers() -> list[str]:
    """Return the table headers."""
    headers = ["member", "sent", "done", "not run", "unknown", "broken", "tokens/s"]
    for name in ("first token", "short first token", "between tokens"):
        headers.extend(f"{name} p{percent:.0f} ms" for percent in PERCENTILES)
    return headers


def table_rows(report: LoadReport) -> list[list[str]]:
    """Return a table row for each member."""
    return [
        [str(member_id), *_cells(member, report.elapsed_s)]
        for member_id, member in report.report_by_member.items()
    ]


def _cells(member: MemberReport, elapsed_s: float) -> list[str]:
    """Return the cells of one member."""
    counts = [str(member.count_by_outcome.get(outcome, 0)) for outcome in Outcome]
    cells = [str(member.sent), *counts, str(member.broken), f"{member.tokens / elapsed_s:.1f}"]
    for histogram in (member.first_token, member.short_first_token, member.between_tokens):
        cells.extend(
            f"{percentile_s(histogram, percent) * _MILLISECONDS_PER_S:.1f}"
            for percent in PERCENTILES
        )
    return cells


def report_json(report: LoadReport) -> str:
    """Return the report as JSON, with times in seconds."""
    members: dict[str, Any] = {}
    for member_id, member in report.report_by_member.items():
        members[member_id] = {
            "sent": member.sent,
            "tokens": member.tokens,
            "broken": member.broken,
            "outcomes": {key.value: count for key, count in member.count_by_outcome.items()},
            "codes": {str(code): count for code, count in member.count_by_code.items()},
            "first_token_s": _percentiles(member.first_token),
            "short_first_token_s": _percentiles(member.short_first_token),
            "between_tokens_s": _percentiles(member.between_tokens),
        }
    document = {"elapsed_s": report.elapsed_s, "members": members}
    return msgspec.json.format(msgspec.json.encode(document)).decode()


def _percentiles(histogram: Any) -> dict[str, float]:
    """Return the percentiles of a histogram in seconds."""
    return {f"p{percent:.0f}": percentile_s(histogram, percent) for percent in PERCENTILES}
