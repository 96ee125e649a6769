"""Entry point of `lagoonctl`."""

from __future__ import annotations

import sys

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from lagoonctl._commands import COMMANDS
from lagoonctl.const import ExitCode


def make_application() -> Application:
    """Create the application with all commands."""
    application = Application("lagoonctl", "0.1.0")
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    return application


def run(arguments: list[str]) -> int:
    """Run one command line and return its exit code."""
    try:
        return make_application().run(ArgvInput(["lagoonctl", *arguments]))
    except CleoError as error:
        print(f"error: {error}", file=sys.stderr)
        return ExitCode.USAGE
    except KeyboardInterrupt:
        return ExitCode.OK


def main() -> None:
    """Run `lagoonctl` with the arguments of the process."""
    sys.exit(run(sys.argv[1:]))
