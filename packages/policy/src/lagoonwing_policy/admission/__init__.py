"""Admission: bounds of the queue, expected wait, early refusal."""

from __future__ import annotations

from lagoonwing_policy.admission._bounds import QueueBounds
from lagoonwing_policy.admission._retry_after import jittered_retry_after
from lagoonwing_policy.admission._throughput import ThroughputMeter

__all__ = ["QueueBounds", "ThroughputMeter", "jittered_retry_after"]
