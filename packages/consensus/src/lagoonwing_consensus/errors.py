"""Errors of the consensus core."""

from __future__ import annotations


class InvariantError(Exception):
    """The replica's state violates a Raft invariant; the replica must stop."""
