"""Open-loop load generator for entry hosts, with results per member."""

from __future__ import annotations

from lagoonctl.load._render import report_json, table_headers, table_rows
from lagoonctl.load._run import async_run_load
from lagoonctl.load._workload import generate_requests
from lagoonctl.load.models import (
    LoadPlan,
    LoadReport,
    MemberLoad,
    MemberReport,
    RequestResult,
    Surge,
    Target,
    percentile_s,
)

__all__ = [
    "LoadPlan",
    "LoadReport",
    "MemberLoad",
    "MemberReport",
    "RequestResult",
    "Surge",
    "Target",
    "async_run_load",
    "generate_requests",
    "percentile_s",
    "report_json",
    "table_headers",
    "table_rows",
]
