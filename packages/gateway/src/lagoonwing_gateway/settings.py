"""Settings of the gateway."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lagoonwing_admission import WaitingRoomSettings
from lagoonwing_catalog.messages import HandoverAddress, ReplicaAddress
from lagoonwing_core.ids import FailureDomainId


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Bound on retries, shared by all gateways.

    Attributes:
        ratio: Allowed retries per request.
        slack: Additional retries allowed per window.
        window_s: Length of the sliding window.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway.

    Attributes:
        read_seeds: Returns the catalog replicas to connect to at startup, and whenever no known one
            answers; they may change.
        drain_grace_s: Time after SIGTERM within which the process must exit.
        admission: Order of waiting requests, and the bounds of the queue.
        handover: Address at which it takes requests of other gateways; None if it takes none.
    """

    failure_domain: FailureDomainId
    read_seeds: Callable[[], tuple[ReplicaAddress, ...]]
    retry_budget: RetryBudgetSettings
    drain_grace_s: float
    admission: WaitingRoomSettings = WaitingRoomSettings()
    handover: HandoverAddress | None = None
