"""Runs the process of a settings file without the command line library."""

from __future__ import annotations

import asyncio
import os
import sys

import uvloop
from expression import Result

from lagoonwing._keys import load_system_key
from lagoonwing._logging import set_up_logging
from lagoonwing._process import async_run_process
from lagoonwing.const import EXIT_FAILED, EXIT_OK, EXIT_SETTINGS, SETTINGS_VARIABLE
from lagoonwing_core.settings import HostSettings, SettingsError, load_settings


def run_settings_file(file: str | None) -> int:
    """Validate a settings file, then run the process until it is stopped.

    Args:
        file: Path; defaults to the environment variable.

    Returns:
        Process exit code.
    """
    path = settings_path(file)
    settings = load_settings_or_print_errors(path)
    if settings is None:
        return EXIT_SETTINGS
    match load_system_key(settings):
        case Result(tag="ok", ok=key):
            pass
        case Result(error=error):
            print_errors((error,))
            return EXIT_SETTINGS
    set_up_logging(settings)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        stopped_cleanly = runner.run(async_run_process(settings, key, path))
    return EXIT_OK if stopped_cleanly else EXIT_FAILED


def settings_path(file: str | None) -> str:
    """Return the path of the settings file, from the argument or the environment."""
    return file or os.environ.get(SETTINGS_VARIABLE, "")


def load_settings_or_print_errors(file: str) -> HostSettings | None:
    """Return the settings, or print all errors and return `None`."""
    match load_settings(file):
        case Result(tag="ok", ok=settings):
            return settings
        case Result(error=errors):
            print_errors(errors)
            return None


def print_errors(errors: tuple[SettingsError, ...]) -> None:
    """Print errors to standard error, one per line."""
    for error in errors:
        print(error, file=sys.stderr)
