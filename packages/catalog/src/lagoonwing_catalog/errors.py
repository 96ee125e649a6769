"""Faults of configuration documents."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DocumentFault:
    """Why a document is invalid.

    Attributes:
        where: Route, service or member that is at fault.
        reason: One sentence for people.
    """

    where: str
    reason: str
