"""Generates the command-line reference, `docs/CLI.md`."""

from __future__ import annotations

from cleo.commands.command import Command
from cleo.io.inputs.option import Option

from lagoonctl._commands import COMMANDS
from lagoonctl._commands._base import CHANGE_OPTIONS, COMMON_OPTIONS
from lagoonctl.const import ExitCode

_DESCRIPTION_BY_EXIT_CODE = {
    ExitCode.OK: "Success. A change has been accepted, by this attempt or an earlier one.",
    ExitCode.REFUSED: "A replica refused; the result code is printed to standard error.",
    ExitCode.USAGE: "The command line is invalid; nothing was sent.",
    ExitCode.NO_ANSWER: "No replica responded in time. The outcome of a change is unknown: "
    "resend it with the change id and the expected revision that are printed.",
    ExitCode.CONFLICT: "The entity is not at the expected revision; nothing changed.",
}

_INTRODUCTION = """\
# Command line for operators

`lagoonctl` calls control replicas over gRPC. It tries replicas in turn, with the same change id,
until one responds or the timeout expires.

- `LAGOONCTL_ADDRESS`: addresses of the replicas, separated by spaces.
- `LAGOONCTL_TOKEN`: the operator's token. Neither the token nor a member's key is ever printed.

Every change prints its revision and its change id. A change that is resent with the same change id,
expected revision and body returns the original result (`replayed` is true). Results are retained
for 24 hours and for the last 100,000 changes; after that, the change is refused with
`change_id_expired`. Reusing a change id with a different body is refused with `change_id_reused`.
Without `--expect-revision`, the current revision is read first; pass the printed revision when you
resend, so that the body is the same. `change` commands read the current values of the fields that
they do not change.

Output is a table by default, or one JSON document per line with `--json`. Errors are printed to
standard error.
"""


def render_reference() -> str:
    """Return the reference in Markdown."""
    lines = [_INTRODUCTION, "## Exit codes", "", "| code | description |", "|---|---|"]
    lines += [f"| {code.value} | {_DESCRIPTION_BY_EXIT_CODE[code]} |" for code in ExitCode]
    lines += ["", "## Options of all commands that call replicas", ""]
    lines += _option_lines(COMMON_OPTIONS)
    lines += ["", "## Additional options of all changes", ""]
    lines += _option_lines(CHANGE_OPTIONS[len(COMMON_OPTIONS) :])
    lines += ["", "## Commands"]
    for command_class in COMMANDS:
        lines += ["", *_command_lines(command_class())]
    return "\n".join(lines) + "\n"


def _command_lines(command: Command) -> list[str]:
    """Return the section of one command."""
    arguments = " ".join(f"{item.name.upper()}" for item in command.arguments)
    lines = [f"### `{f'lagoonctl {command.name} {arguments}'.strip()}`", ""]
    lines.append(command.description)
    shared = {item.name for item in CHANGE_OPTIONS}
    own = [item for item in command.options if item.name not in shared]
    details = [f"- `{item.name.upper()}`: {item.description}" for item in command.arguments]
    details += _option_lines(own)
    return [*lines, "", *details] if details else lines


def _option_lines(options: list[Option]) -> list[str]:
    """Return a list item per option."""
    return [f"- `--{item.name}`: {item.description}" for item in options]
