"""Refusals of routing."""

from __future__ import annotations

from lagoonwing_core.errors import Refusal
from lagoonwing_core.result_codes import ResultCode


def no_endpoint() -> Refusal:
    """Refuse work that no endpoint serves."""
    return Refusal(ResultCode.NO_ENDPOINT, "no endpoint serves this")


def incomplete_pipeline() -> Refusal:
    """Refuse work whose layers are not all held."""
    return Refusal(ResultCode.INCOMPLETE_PIPELINE, "no chain of stages holds every layer once")


def no_replacement() -> Refusal:
    """Refuse to replace a stage whose layers no other endpoint holds with room."""
    return Refusal(ResultCode.NO_ENDPOINT, "no other stage holds these layers")
