"""Routing, limits, fairness and retries without I/O."""

from __future__ import annotations

from lagoonwing_policy._scheduler import Scheduler
from lagoonwing_policy._settings import SchedulerSettings

__all__ = ["Scheduler", "SchedulerSettings"]
