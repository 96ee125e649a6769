"""Exceptions of the entry host."""

from __future__ import annotations

from lagoonwing_entry.models import DispatchFailure


class DispatchError(Exception):
    """A dispatch did not produce a complete response."""

    def __init__(self, failure: DispatchFailure) -> None:
        super().__init__(failure.refusal.detail)
        self.failure = failure


class CallerGoneError(Exception):
    """The caller closed the connection or stopped reading."""
