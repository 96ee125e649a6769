"""Local copy of the durable control state on each entry host."""

from __future__ import annotations

from lagoonwing_follower._coordinator import ControlCoordinator
from lagoonwing_follower.models import ControlView, FollowerSettings

__all__ = ["ControlCoordinator", "ControlView", "FollowerSettings"]
