"""Admission: bounds of the queue, expected wait, early refusal."""

from __future__ import annotations

from lagoonwing_policy.admission._bounds import QueueBounds
from lagoonwing_policy.admission._drain import DrainMeter
from lagoonwing_policy.admission._retry_after import jittered_retry_after

__all__ = ["DrainMeter", "QueueBounds", "jittered_retry_after"]
