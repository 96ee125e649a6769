"""Commands of the `lagoonwing` binary."""

from __future__ import annotations

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from lagoonwing._run import load_settings_or_print_errors, run_settings_file, settings_path
from lagoonwing.const import EXIT_OK, EXIT_SETTINGS, SETTINGS_VARIABLE, VERSION


def _file_argument() -> Argument:
    """Return the argument for the settings file."""
    help_text = f"Settings file (JSON with comments); defaults to ${SETTINGS_VARIABLE}."
    return argument("file", help_text, optional=True)


class RunCommand(Command):
    """Runs the process described by a settings file."""

    name = "run"
    description = "Run the process described by a settings file until SIGTERM."
    arguments = [_file_argument()]

    def handle(self) -> int:
        """Validate the settings, then run until the process is stopped."""
        return run_settings_file(self.argument("file"))


class CheckCommand(Command):
    """Validates a settings file without starting a process."""

    name = "check"
    description = "Validate a settings file and list all errors; exit code 2 if there are any."
    arguments = [_file_argument()]

    def handle(self) -> int:
        """Print all errors of the file, or that there are none."""
        file = settings_path(self.argument("file"))
        if load_settings_or_print_errors(file) is None:
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
