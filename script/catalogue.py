"""Regenerates the reference pages from the code, keeping the descriptions on the pages."""

from __future__ import annotations

import ast
import re
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

from lagoonwing_core.events import EventCode
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_core.settings import render_settings

ROOT = Path(__file__).parents[1]
DOCS = ROOT / "docs"
ROW = re.compile(r"^\| \d+ \| `(\w+)` \|(.*)\|$")
TABLE_LINE = re.compile(r"^\|.*\n", re.MULTILINE)


def fields_by_event() -> dict[str, list[str]]:
    """Return the log fields of each event, collected from `log_event` calls."""
    fields: dict[str, set[str]] = defaultdict(set)
    for path in sorted([*ROOT.glob("packages/*/src/**/*.py"), *ROOT.glob("platform/src/**/*.py")]):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            if getattr(node.func, "id", getattr(node.func, "attr", "")) != "log_event":
                continue
            event = node.args[0]
            if isinstance(event, ast.Attribute):
                fields[event.attr] |= {word.arg for word in node.keywords if word.arg}
    return {name: sorted(names) for name, names in fields.items()}


def read_descriptions(page: str) -> dict[str, str]:
    """Return the description (last cell) of each table row by name."""
    rows = (ROW.match(line) for line in (DOCS / page).read_text(encoding="utf-8").splitlines())
    return {row.group(1): row.group(2).split("|")[-1].strip() for row in rows if row}


def replace_table(page: str, lines: Iterable[str]) -> None:
    """Replace the table at the end of a page."""
    path = DOCS / page
    head = TABLE_LINE.sub("", path.read_text(encoding="utf-8")).rstrip("\n")
    path.write_text(f"{head}\n\n" + "\n".join(lines) + "\n", encoding="utf-8")


def main() -> None:
    """Regenerate all pages."""
    codes = read_descriptions("RESULT_CODES.md")
    lines = ["| code | name | meaning |", "|---|---|---|"]
    lines += [
        f"| {code.value} | `{code.name}` | {codes.get(code.name, '')} |"
        for code in sorted(ResultCode)
    ]
    replace_table("RESULT_CODES.md", lines)

    events = read_descriptions("EVENTS.md")
    fields = fields_by_event()
    lines = ["| event | name | fields | meaning |", "|---|---|---|---|"]
    for event in sorted(EventCode):
        listed = ", ".join(f"`{name}`" for name in fields.get(event.name, []))
        name = event.name.lower()
        lines.append(f"| {event.value} | `{name}` | {listed} | {events.get(name, '')} |")
    replace_table("EVENTS.md", lines)
    replace_table("SETTINGS.md", render_settings().splitlines())


if __name__ == "__main__":
    main()
