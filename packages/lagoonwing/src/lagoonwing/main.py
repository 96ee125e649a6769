"""Entry point of the `lagoonwing` binary."""

from __future__ import annotations

import sys

from cleo.application import Application

from lagoonwing._commands import CheckCommand, RunCommand, VersionCommand
from lagoonwing.const import VERSION


def main() -> None:
    """Run the command from the command line."""
    application = Application("lagoonwing", VERSION)
    application.add(RunCommand())
    application.add(CheckCommand())
    application.add(VersionCommand())
    sys.exit(application.run())
