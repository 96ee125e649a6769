"""Commands of the `lagoonwing` binary."""

from __future__ import annotations

import asyncio
import os
import sys

import uvloop
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from expression import Result

from lagoonwing._keys import system_key
from lagoonwing._logging import set_up_logging
from lagoonwing._process import async_run_process
from lagoonwing.const import EXIT_FAILED, EXIT_OK, EXIT_SETTINGS, SETTINGS_VARIABLE, VERSION
from lagoonwing_core.settings import HostSettings, SettingsFault, load_settings


def _file_argument() -> Argument:
    """Return the argument that names the settings file."""
    help_text = f"Settings file: JSON with comments; ${SETTINGS_VARIABLE} if it is not given."
    return argument("file", help_text, optional=True)


class RunCommand(Command):
    """Runs the process that a settings file describes."""

    name = "run"
    description = "Run the process that a settings file describes, until SIGTERM."
    arguments = [_file_argument()]

    def handle(self) -> int:
        """Check the settings, then run until the process is told to stop."""
        settings = _load_or_print(_file_of(self))
        if settings is None:
            return EXIT_SETTINGS
        match system_key(settings):
            case Result(tag="ok", ok=key):
                pass
            case Result(error=fault):
                _print_faults((fault,))
                return EXIT_SETTINGS
        set_up_logging(settings)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            stopped_in_order = runner.run(async_run_process(settings, key))
        return EXIT_OK if stopped_in_order else EXIT_FAILED


class CheckCommand(Command):
    """Checks a settings file without starting anything."""

    name = "check"
    description = "Check a settings file and list every fault; exit code 2 if there is any."
    arguments = [_file_argument()]

    def handle(self) -> int:
        """Print every fault of the file, or that there is none."""
        file = _file_of(self)
        if _load_or_print(file) is None:
            return EXIT_SETTINGS
        self.line(f"{file}: no faults")
        return EXIT_OK


class VersionCommand(Command):
    """Prints the version."""

    name = "version"
    description = "Print the version."

    def handle(self) -> int:
        """Print the version."""
        self.line(f"lagoonwing {VERSION}")
        return EXIT_OK


def _file_of(command: Command) -> str:
    """Return the path of the settings file, from the argument or the environment."""
    file: str | None = command.argument("file")
    return file or os.environ.get(SETTINGS_VARIABLE, "")


def _load_or_print(file: str) -> HostSettings | None:
    """Return the settings, or print every fault and return nothing."""
    match load_settings(file):
        case Result(tag="ok", ok=settings):
            return settings
        case Result(error=faults):
            _print_faults(faults)
            return None


def _print_faults(faults: tuple[SettingsFault, ...]) -> None:
    """Print faults to standard error, one a line."""
    for fault in faults:
        print(fault, file=sys.stderr)
