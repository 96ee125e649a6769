"""Admission control: queue bounds, throughput measurement and retry-after times."""

from __future__ import annotations

from lagoonwing_policy.admission._bounds import QueueBounds
from lagoonwing_policy.admission._retry_after import jittered_retry_after
from lagoonwing_policy.admission._throughput import ThroughputMeter

__all__ = ["QueueBounds", "ThroughputMeter", "jittered_retry_after"]
