"""Refusals of routing."""

from __future__ import annotations

from lagoonwing_core.errors import Refusal
from lagoonwing_core.result_codes import ResultCode


def no_endpoint() -> Refusal:
    """Return the refusal for work that no endpoint serves."""
    return Refusal(ResultCode.NO_ENDPOINT, "no endpoint serves this")


def incomplete_pipeline() -> Refusal:
    """Return the refusal for a model of which not all layers are held."""
    return Refusal(ResultCode.INCOMPLETE_PIPELINE, "no chain of stages holds every layer once")


def no_replacement() -> Refusal:
    """Return the refusal for a stage whose layers no other endpoint with room holds."""
    return Refusal(ResultCode.NO_ENDPOINT, "no other stage holds these layers")
