"""Exceptions of the entry host."""

from __future__ import annotations

from lagoonwing_entry.models import DispatchFailure


class DispatchError(Exception):
    """A dispatch gave no whole answer."""

    def __init__(self, failure: DispatchFailure) -> None:
        super().__init__(failure.refusal.detail)
        self.failure = failure


class CallerGoneError(Exception):
    """The caller closed the connection or reads nothing."""


class ConnectError(Exception):
    """No connection to the endpoint could be opened, so no byte was sent."""


class AnswerBrokenError(Exception):
    """The connection ended, or its framing broke, before the answer was whole."""


class AnswerTooLargeError(Exception):
    """The answer passes its limit."""
