"""Typed errors carried in `expression.Result` values."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_core.result_codes import ResultCode


@dataclass(frozen=True, slots=True)
class Refusal:
    """Reason why an operation was rejected or failed.

    Attributes:
        code: Result code.
        detail: Human-readable message.
        retry_after: Seconds after which a retry may succeed, if known.
    """

    code: ResultCode
    detail: str
    retry_after: float | None = None
