"""Settings of the gateway."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_catalog.messages import ReplicaAddress
from lagoonwing_core.ids import FailureDomainId


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Bound on second sends that all gateways keep together.

    Attributes:
        ratio: Retries for each request.
        slack: Further retries in a window.
        window_s: Length of a window.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway.

    Attributes:
        seeds: Replicas of the catalog to begin with.
        drain_grace_s: Time after SIGTERM within which the process must end.
    """

    failure_domain: FailureDomainId
    seeds: tuple[ReplicaAddress, ...]
    retry_budget: RetryBudgetSettings
    drain_grace_s: float
