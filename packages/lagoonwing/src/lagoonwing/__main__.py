"""Runs the binary as a module."""

from __future__ import annotations

import sys

from lagoonwing._run import run_settings_file


def main() -> None:
    """Run a process at once; leave every other command to the command line library."""
    # A host that comes back serves sooner without the library's load time.
    if sys.argv[1:] == ["run"]:
        sys.exit(run_settings_file(None))
    from lagoonwing.main import main as run_command_line

    run_command_line()


main()
