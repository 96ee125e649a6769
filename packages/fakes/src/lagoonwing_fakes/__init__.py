"""Fake endpoints for tests and benchmarks."""

from __future__ import annotations

from lagoonwing_fakes._endpoint import FakeEndpoint
from lagoonwing_fakes.models import FakeKind, FakeSettings, Fault, FaultPlan
from lagoonwing_fakes.tokens import expected_text, prompt_text

__all__ = [
    "FakeEndpoint",
    "FakeKind",
    "FakeSettings",
    "Fault",
    "FaultPlan",
    "expected_text",
    "prompt_text",
]
