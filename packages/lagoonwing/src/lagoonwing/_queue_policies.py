"""Order of waiting requests at a gateway, selected by its settings."""

from __future__ import annotations

from lagoonwing_admission import WaitingRoomSettings
from lagoonwing_admission.models import (
    BoundedQueue,
    EarlyRefusal,
    FirstComeFirstServed,
    WeightedFair,
)
from lagoonwing_core.settings import GatewaySettings, QueuePolicy


def build_waiting_room_settings(section: GatewaySettings) -> WaitingRoomSettings:
    """Return the queue policy of a gateway.

    First-come, first-served is the baseline of benchmarks, without early refusal.
    """
    match section.queue_policy:
        case QueuePolicy.WEIGHTED_FAIR:
            return WaitingRoomSettings(WeightedFair(), EarlyRefusal())
        case QueuePolicy.FIRST_COME:
            return WaitingRoomSettings(FirstComeFirstServed(), BoundedQueue())
