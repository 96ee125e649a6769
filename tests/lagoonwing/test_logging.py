"""Log output: JSON format, rate limit and non-blocking writes."""

from __future__ import annotations

import json
import logging
import os

import pytest

from lagoonwing._logging import JsonFormatter, RateLimitedHandler
from lagoonwing_core.events import EventCode, EventFields
from lagoonwing_core.settings import HostSettings, Role

SETTINGS = HostSettings(role=Role.GATEWAY, host_id="h-1", failure_domain="d-1", address="127.0.0.1")
BURST_LINES = 20
LINES_PER_S = 10.0


def _record(number: int) -> logging.LogRecord:
    """Return a log record of one event."""
    fields = EventFields(
        EventCode.REQUEST_REFUSED, {"request": f"a-{number}", "why": ValueError("x")}
    )
    return logging.LogRecord("absl", logging.INFO, "", 0, "%s", (fields,), None)


def test_line_is_one_json_object() -> None:
    """The line contains host, event code and fields; other values are converted to text."""
    line = json.loads(JsonFormatter(SETTINGS).format(_record(1)))
    assert line["host"] == "h-1"
    assert line["event"] == EventCode.REQUEST_REFUSED.value
    assert line["request"] == "a-1"
    assert line["why"] == "x"


def test_lines_above_the_rate_limit_are_counted() -> None:
    """A burst of records writes at most the burst capacity and counts the rest."""
    read_end, write_end = os.pipe()
    handler = RateLimitedHandler(write_end, LINES_PER_S)
    handler.setFormatter(JsonFormatter(SETTINGS))
    for number in range(1_000):
        handler.emit(_record(number))
    os.close(write_end)
    with os.fdopen(read_end) as lines:
        assert sum(1 for _ in lines) <= BURST_LINES + 1
    assert handler.dropped >= 1_000 - BURST_LINES - 1


def test_full_pipe_does_not_block(capfd: pytest.CaptureFixture[str]) -> None:
    """If the reader of the pipe stops, lines are dropped instead of blocking the process."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    handler = RateLimitedHandler(write_end, 1e6)
    handler.setFormatter(JsonFormatter(SETTINGS))
    for number in range(5_000):
        handler.emit(_record(number))
    assert handler.dropped > 0
    os.close(write_end)
    os.close(read_end)
