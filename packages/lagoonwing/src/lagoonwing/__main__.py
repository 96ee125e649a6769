"""Entry point for `python -m lagoonwing`."""

from __future__ import annotations

import sys

from lagoonwing._run import run_settings_file


def main() -> None:
    """Run a process directly; pass all other commands to the command line parser."""
    # Skip loading the command line library, so that a restarted host serves sooner.
    if sys.argv[1:] == ["run"]:
        sys.exit(run_settings_file(None))
    from lagoonwing.main import main as run_command_line

    run_command_line()


main()
