"""Retry-after times of refused requests."""

from __future__ import annotations

import random

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0


def jittered_retry_after(rng: random.Random, expected_s: float) -> float:
    """Return a uniformly jittered retry-after time, so that callers don't retry all at once.

    Args:
        rng: Source of randomness.
        expected_s: Seconds until a retry is expected to succeed.
    """
    spread = min(MAX_RETRY_AFTER_S, 2.0 * max(MIN_RETRY_AFTER_S, expected_s))
    return MIN_RETRY_AFTER_S + rng.random() * spread
