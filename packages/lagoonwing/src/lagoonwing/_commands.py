"""Commands of the `lagoonwing` binary."""

from __future__ import annotations

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from lagoonwing._run import load_or_print, run_settings_file, settings_path
from lagoonwing.const import EXIT_OK, EXIT_SETTINGS, SETTINGS_VARIABLE, VERSION


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
        return run_settings_file(self.argument("file"))


class CheckCommand(Command):
    """Checks a settings file without starting anything."""

    name = "check"
    description = "Check a settings file and list every error; exit code 2 if there is any."
    arguments = [_file_argument()]

    def handle(self) -> int:
        """Print every error of the file, or that there is none."""
        file = settings_path(self.argument("file"))
        if load_or_print(file) is None:
            return EXIT_SETTINGS
        self.line(f"{file}: no errors")
        return EXIT_OK


class VersionCommand(Command):
    """Prints the version."""

    name = "version"
    description = "Print the version."

    def handle(self) -> int:
        """Print the version."""
        self.line(f"lagoonwing {VERSION}")
        return EXIT_OK
