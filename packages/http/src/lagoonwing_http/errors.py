"""Exceptions of connections to endpoints."""

from __future__ import annotations


class ConnectError(Exception):
    """No usable connection to the endpoint, so nothing was sent.

    Attributes:
        refused: Whether the connection was refused because nothing listens on the port.
    """

    def __init__(self, detail: str, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class AnswerBrokenError(Exception):
    """The connection closed, or its framing was invalid, before the response was complete."""


class ForeignAnswerError(AnswerBrokenError):
    """The response belongs to another request or attempt; the connection was closed."""


class AnswerTooLargeError(AnswerBrokenError):
    """The response body exceeds the limit of its reader; it may have no end."""
