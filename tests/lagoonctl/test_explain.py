"""Timelines built from log lines of several processes."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from lagoonctl.const import ExitCode
from lagoonctl.explain import build_timeline
from lagoonctl.main import run


def _line(second: float, host: str, name: str, **fields: object) -> str:
    """Return one log line."""
    stamp = f"2026-12-04T07:00:{second:06.3f}Z"
    line = {"time": stamp, "level": "info", "host": host, "role": "gateway", "event": 1}
    return json.dumps({**line, "name": name, **fields})


@pytest.fixture
def logs() -> Iterator[list[str]]:
    """Unordered log lines of two gateways and a registry."""
    yield [
        "not a line of ours",
        _line(9.0, "g-1", "request_refused", request="a-2", code=4000, reason="no path"),
        _line(8.5, "g-1", "endpoint_suspected", endpoint="e-1", reason="refused"),
        _line(8.0, "g-1", "path_chosen", request="a-1", path="e-1=0-4,e-2=4-8", attempt=1),
        _line(8.6, "g-1", "attempt_ended", request="a-1", endpoint="e-1", reason="e-1 is down"),
        _line(8.2, "r-1", "endpoint_announced", endpoint="e-2", state="draining"),
        _line(8.2, "r-1", "endpoint_announced", endpoint="e-9", state="draining"),
        _line(8.3, "g-2", "source_changed", peer="r-1"),
        _line(1.0, "g-1", "endpoint_suspected", endpoint="e-1", reason="long ago"),
        '{"time": "never"}',
    ]


def test_timeline_has_request_and_context_in_order(logs: list[str]) -> None:
    """Events of endpoints on the path are included; those of other endpoints are not."""
    timeline = build_timeline(logs, "a-1")
    assert [(line.name, line.fields.get("endpoint")) for line in timeline] == [
        ("path_chosen", None),
        ("endpoint_announced", "e-2"),
        ("endpoint_suspected", "e-1"),
        ("attempt_ended", "e-1"),
    ]


def test_unknown_request_has_empty_timeline(logs: list[str]) -> None:
    """An id that no line mentions yields no context events."""
    assert build_timeline(logs, "a-9") == []


def test_command_reads_files(
    logs: list[str], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Prints the timeline; the exit code tells whether the request was found."""
    file = tmp_path / "log"
    file.write_text("\n".join(logs), encoding="utf-8")
    assert run(["explain", "a-1", str(file)]) == ExitCode.OK
    assert "e-1 is down" in capsys.readouterr().out
    assert run(["explain", "a-9", str(file)]) != ExitCode.OK
