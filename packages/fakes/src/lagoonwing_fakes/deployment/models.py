"""Plan of a deployment."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from lagoonwing_fakes.models import FakeSettings, FaultPlan


class HostProcess(Enum):
    """Process of a host."""

    ENTRY = "entry"
    CONTROL = "control"


@dataclass(frozen=True, slots=True)
class HostPolicies:
    """Policies of all entry hosts, named as in the settings."""

    limit_policy: str = "allotments"
    queue_policy: str = "weighted_fair"
    route_policy: str = "flow"


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """Processes to start and their settings.

    Attributes:
        folder: Folder for settings, data, logs and execution logs.
        network: Second and third octets of the loopback addresses, such as `77.1`; concurrent
            deployments need different ones.
        voters: Number of replicas that start as voters; the others start as learners.
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
    """A fake endpoint and the faults to inject."""

    settings: FakeSettings
    faults: FaultPlan
