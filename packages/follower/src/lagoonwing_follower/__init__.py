"""Current copy of the durable state held by each entry host."""

from __future__ import annotations

from lagoonwing_follower._coordinator import ControlCoordinator
from lagoonwing_follower.models import ControlView, FollowerSettings

__all__ = ["ControlCoordinator", "ControlView", "FollowerSettings"]
