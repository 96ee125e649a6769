"""The `lagoonctl explain` command."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from lagoonctl.explain._timeline import build_timeline
from lagoonctl.explain.models import LogLine

EXIT_OK = 0
EXIT_NOT_FOUND = 1


class ExplainCommand(Command):
    """Prints the timeline of one request."""

    name = "explain"
    description = "Print the timeline of one request from the logs of all processes."
    arguments = [
        argument("request", "Id sent with the caller's request."),
        argument("files", "Log files; standard input if omitted.", True, multiple=True),
    ]
    options = [option("json", None, "Print JSON, one document per line.")]

    def handle(self) -> int:
        """Print the timeline, or an error if no line mentions the request."""
        timeline = build_timeline(_read_lines(self.argument("files")), self.argument("request"))
        if not timeline:
            self.line_error("no log line mentions this request")
            return EXIT_NOT_FOUND
        for line in timeline:
            self.line(_to_json(line) if self.option("json") else str(line))
        return EXIT_OK


def _read_lines(files: list[str]) -> Iterator[str]:
    """Yield the lines of the files, or of standard input."""
    if not files:
        yield from sys.stdin
    for file in files:
        with Path(file).open(encoding="utf-8", errors="replace") as content:
            yield from content


def _to_json(line: LogLine) -> str:
    """Serialize a log line as a JSON object."""
    return json.dumps(
        {"time": line.time.isoformat(), "host": line.host, "name": line.name, **line.fields}
    )
