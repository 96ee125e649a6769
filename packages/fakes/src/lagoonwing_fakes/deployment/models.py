"""Plan of a deployment of real processes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from lagoonwing_fakes.models import FakeSettings, FaultPlan


class HostProcess(Enum):
    """Which process of a host is meant."""

    ENTRY = "entry"
    CONTROL = "control"


@dataclass(frozen=True, slots=True)
class HostPolicies:
    """Policies of every entry host, by the names of the settings."""

    limit_policy: str = "allotments"
    queue_policy: str = "weighted_fair"
    route_policy: str = "flow"


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """What to start.

    Attributes:
        folder: Folder of settings, data, logs and effect logs.
        network: Second and third number of the loopback addresses, such as `77.1`; a deployment
            that runs at the same time as another needs its own.
        voters: Replicas that start as voters; the others start as learners.
    """

    folder: Path
    network: str = "77.1"
    entries: int = 4
    replicas: int = 4
    voters: int = 3
    policies: HostPolicies = HostPolicies()
    drain_grace_s: float = 60.0


@dataclass(frozen=True, slots=True)
class EndpointPlan:
    """One stand-in of an endpoint with its misbehaviour."""

    settings: FakeSettings
    faults: FaultPlan
