"""Typed refusals carried in `expression.Result` values."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_core.result_codes import ResultCode


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why something was not done.

    Attributes:
        code: Numbered result code.
        detail: One sentence for people.
        retry_after: Seconds after which a new try makes sense, if known.
    """

    code: ResultCode
    detail: str
    retry_after: float | None = None
