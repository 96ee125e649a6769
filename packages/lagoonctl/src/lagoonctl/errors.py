"""Errors of the command line."""

from __future__ import annotations

from lagoonctl.const import ExitCode


class CommandError(Exception):
    """A command failed.

    Attributes:
        exit_code: Exit code of the process.
        result_code: Result code returned by the replica, if any.
    """

    def __init__(self, exit_code: ExitCode, detail: str, result_code: int | None = None) -> None:
        super().__init__(detail)
        self.exit_code = exit_code
        self.result_code = result_code


class UsageError(CommandError):
    """An option or argument is invalid or missing."""

    def __init__(self, detail: str) -> None:
        super().__init__(ExitCode.USAGE, detail)
