"""The `lagoonctl explain` command."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from lagoonctl.explain._story import find_story
from lagoonctl.explain.models import LogLine

EXIT_OK = 0
EXIT_NOT_FOUND = 1


class ExplainCommand(Command):
    """Prints one request's story."""

    name = "explain"
    description = "Print one request's story from the logs of all processes, in order of time."
    arguments = [
        argument("request", "Id that the caller's request carried."),
        argument("files", "Log files; standard input if there are none.", True, multiple=True),
    ]
    options = [option("json", None, "Print JSON for programs.")]

    def handle(self) -> int:
        """Print the lines, or that there are none."""
        story = find_story(_lines(self.argument("files")), self.argument("request"))
        if not story:
            self.line_error("no line names this request")
            return EXIT_NOT_FOUND
        for line in story:
            self.line(_json(line) if self.option("json") else str(line))
        return EXIT_OK


def _lines(files: list[str]) -> Iterator[str]:
    """Yield the lines of files, or of standard input."""
    if not files:
        yield from sys.stdin
    for file in files:
        with Path(file).open(encoding="utf-8", errors="replace") as content:
            yield from content


def _json(line: LogLine) -> str:
    """Return a line as one JSON object."""
    return json.dumps(
        {"time": line.time.isoformat(), "host": line.host, "name": line.name, **line.fields}
    )
