"""Errors of the replicated log's core."""

from __future__ import annotations


class InvariantError(Exception):
    """The log's state contradicts itself; the replica must not go on."""
