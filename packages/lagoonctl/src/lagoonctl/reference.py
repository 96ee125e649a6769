"""Reference of the command line, from which `docs/CLI.md` is made."""

from __future__ import annotations

from cleo.commands.command import Command
from cleo.io.inputs.option import Option

from lagoonctl._commands import COMMANDS
from lagoonctl._commands._base import CHANGE_OPTIONS, COMMON_OPTIONS
from lagoonctl.const import ExitCode

_MEANING_BY_EXIT_CODE = {
    ExitCode.OK: "Done. For a change: it is accepted, now or by an earlier try.",
    ExitCode.REFUSED: "A replica refused; the result code is printed on standard error.",
    ExitCode.USAGE: "The command line is wrong; nothing was sent.",
    ExitCode.NO_ANSWER: "No replica answered in time. It is not known whether a change was "
    "accepted: resend it with the change id and the expected revision that are printed.",
    ExitCode.CONFLICT: "The entity is at another revision than the one expected; nothing changed.",
}

_INTRODUCTION = """\
# Command line for operators

`lagoonctl` calls control replicas over gRPC. Replicas are asked in turn, with the same change id,
until one answers or the timeout has passed.

- `LAGOONCTL_ADDRESS`: addresses of the replicas, separated by blanks.
- `LAGOONCTL_TOKEN`: the operator's token. Neither it nor a member's key is ever printed.

Every change prints its revision and its change id. A change that is resent with the same change id,
expected revision and body gets its first answer (`replayed` is true), for 24 hours and for the last
100,000 changes; later it is refused with `change_id_expired`. The same change id with another body
is refused with `change_id_reused`. Without `--expect-revision` the present revision is read first;
give the printed one when you resend, so that the body is the same. `change` commands read what
they leave as it is.

A table is printed for people, one JSON document a line with `--json`. Errors go to standard error.
"""


def render_reference() -> str:
    """Return the reference in Markdown."""
    lines = [_INTRODUCTION, "## Exit codes", "", "| code | meaning |", "|---|---|"]
    lines += [f"| {code.value} | {_MEANING_BY_EXIT_CODE[code]} |" for code in ExitCode]
    lines += ["", "## Options of every command that calls replicas", ""]
    lines += _option_lines(COMMON_OPTIONS)
    lines += ["", "## Further options of every change", ""]
    lines += _option_lines(CHANGE_OPTIONS[len(COMMON_OPTIONS) :])
    lines += ["", "## Commands"]
    for kind in COMMANDS:
        lines += ["", *_command_lines(kind())]
    return "\n".join(lines) + "\n"


def _command_lines(command: Command) -> list[str]:
    """Return the lines of one command."""
    arguments = " ".join(f"{item.name.upper()}" for item in command.arguments)
    lines = [f"### `{f'lagoonctl {command.name} {arguments}'.strip()}`", ""]
    lines.append(command.description)
    shared = {item.name for item in CHANGE_OPTIONS}
    own = [item for item in command.options if item.name not in shared]
    details = [f"- `{item.name.upper()}`: {item.description}" for item in command.arguments]
    details += _option_lines(own)
    return [*lines, "", *details] if details else lines


def _option_lines(options: list[Option]) -> list[str]:
    """Return one line per option."""
    return [f"- `--{item.name}`: {item.description}" for item in options]
