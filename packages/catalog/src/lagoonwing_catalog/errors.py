"""Validation issues of configuration documents."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ValidationIssue:
    """A reason why a document is invalid.

    Attributes:
        subject: Id of the invalid route, service or member.
        reason: Human-readable description.
        passes_older_builds: Whether older builds accept a document with this issue.
    """

    subject: str
    reason: str
    passes_older_builds: bool = False
