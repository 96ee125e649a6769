"""Collects the log lines that explain the outcome of a request."""

from __future__ import annotations

import re
from collections.abc import Iterable
from datetime import datetime, timedelta

import msgspec

from lagoonctl.explain.models import LogLine

# Events up to this long before a request's first log line may explain its outcome.
CONTEXT_S = 5.0
# Process and endpoint events that may explain the outcome of a request.
CONTEXT_EVENTS = frozenset(
    {
        "endpoint_announced",
        "endpoint_expired",
        "endpoint_suspected",
        "gateway_drained",
        "leader_elected",
        "leader_lost",
        "loop_delayed",
        "peer_lost",
        "placement_ordered",
        "process_started",
        "process_stopping",
        "revision_applied",
        "source_changed",
    }
)
_COMMON_FIELDS = frozenset({"time", "level", "host", "role", "event", "name"})
_ENDPOINT_FIELDS = ("endpoint", "path")
_SEPARATORS = re.compile(r"[,=]")


def build_timeline(lines: Iterable[str], request_id: str) -> list[LogLine]:
    """Return a request's log lines and related context events in chronological order.

    Args:
        lines: Logs of all processes; lines that are not JSON objects are skipped.
        request_id: Id sent with the caller's request.
    """
    parsed = [line for line in map(_parse, lines) if line is not None]
    request_lines = [line for line in parsed if line.fields.get("request") == request_id]
    if not request_lines:
        return []
    first = min(line.time for line in request_lines) - timedelta(seconds=CONTEXT_S)
    last = max(line.time for line in request_lines)
    hosts = {line.host for line in request_lines}
    endpoint_ids = {endpoint_id for line in request_lines for endpoint_id in _endpoint_ids(line)}
    # A request refused before an endpoint was chosen may be affected by any endpoint.
    has_no_endpoint = not endpoint_ids
    context = [
        line
        for line in parsed
        if line.name in CONTEXT_EVENTS
        and first <= line.time <= last
        and (
            line.fields.get("endpoint") in endpoint_ids
            or (has_no_endpoint and "endpoint" in line.fields)
            or _is_process_event(line, hosts)
        )
    ]
    return sorted([*request_lines, *context], key=lambda line: line.time)


def _is_process_event(line: LogLine, hosts: set[str]) -> bool:
    """Return whether a line is a process-level event on a host that served the request."""
    return line.host in hosts and "endpoint" not in line.fields


def _endpoint_ids(line: LogLine) -> set[str]:
    """Return the endpoint ids that a line mentions."""
    texts = [str(line.fields[name]) for name in _ENDPOINT_FIELDS if name in line.fields]
    return {part for text in texts for part in _SEPARATORS.split(text) if part}


def _parse(text: str) -> LogLine | None:
    """Parse a log line; return `None` if it is not in the project's log format."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:].encode(), type=dict)
        time = datetime.fromisoformat(fields["time"])
    except (msgspec.MsgspecError, KeyError, ValueError):
        return None
    extra_fields = {name: value for name, value in fields.items() if name not in _COMMON_FIELDS}
    return LogLine(time, str(fields.get("host", "")), str(fields.get("name", "")), extra_fields)
