"""Exceptions of connections to endpoints."""

from __future__ import annotations


class ConnectError(Exception):
    """No connection to the endpoint could be used, so no byte was sent.

    Attributes:
        refused: Whether the endpoint's host refused it, for nothing listens.
    """

    def __init__(self, detail: str, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class AnswerBrokenError(Exception):
    """The connection ended, or its framing broke, before the answer was whole."""


class ForeignAnswerError(AnswerBrokenError):
    """The answer belongs to another request or attempt, so the connection was closed."""
