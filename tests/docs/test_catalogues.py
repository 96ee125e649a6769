"""The documentation lists exactly the result codes and log events defined in the code."""

from __future__ import annotations

import ast
import re
from collections import defaultdict
from pathlib import Path

from lagoonwing_core.events import EventCode
from lagoonwing_core.result_codes import ResultCode

ROOT = Path(__file__).parents[2]
ROW_PATTERN = re.compile(r"^\| (\d+) \| `(\w+)` \|(.*)\|$")


def _rows(page: str) -> list[tuple[int, str, list[str]]]:
    """Return number, name and remaining cells of each row of a page's table."""
    rows = []
    for line in (ROOT / "docs" / page).read_text(encoding="utf-8").splitlines():
        match = ROW_PATTERN.match(line)
        if match:
            cells = [cell.strip() for cell in match.group(3).split("|")]
            rows.append((int(match.group(1)), match.group(2), cells))
    return rows


def _fields_by_event() -> dict[str, set[str]]:
    """Return the fields logged with each event."""
    fields: dict[str, set[str]] = defaultdict(set)
    for path in sorted([*ROOT.glob("packages/*/src/**/*.py"), *ROOT.glob("platform/src/**/*.py")]):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            if getattr(node.func, "id", getattr(node.func, "attr", "")) != "log_event":
                continue
            event = node.args[0]
            assert isinstance(
                event, ast.Attribute
            ), f"{path}:{node.lineno}: pass an EventCode member to log_event"
            fields[event.attr] |= {keyword.arg for keyword in node.keywords if keyword.arg}
    return fields


def test_result_codes_page_lists_all_codes() -> None:
    """Each code is listed once, in numeric order, with its name and meaning."""
    rows = _rows("RESULT_CODES.md")
    assert [(number, name) for number, name, _ in rows] == [
        (code.value, code.name) for code in sorted(ResultCode)
    ]
    assert all(all(cells) for _, _, cells in rows)


def test_events_page_lists_all_events() -> None:
    """Each event is listed once, in numeric order, with its name, fields and meaning."""
    rows = _rows("EVENTS.md")
    assert [(number, name) for number, name, _ in rows] == [
        (event.value, event.name.lower()) for event in sorted(EventCode)
    ]
    fields = _fields_by_event()
    for _, name, (listed, meaning) in rows:
        assert set(re.findall(r"`(\w+)`", listed)) == fields.get(name.upper(), set()), name
        assert meaning, name


def test_every_event_is_logged() -> None:
    """There are no event codes that are never logged."""
    logged = set(_fields_by_event())
    assert {event.name for event in EventCode} - logged == set()
