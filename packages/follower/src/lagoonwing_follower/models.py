"""Settings of a follower and its view of the replicated state."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from lagoonwing_core.ids import Fingerprint, Incarnation, MemberId, Revision, StopId
from lagoonwing_core.models import (
    Agreement,
    ConfigurationEntry,
    HostAddress,
    Member,
    PlannedStop,
    Quarantine,
)
from lagoonwing_follower.const import CONFIGURATION_LEASE_S


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """Settings of a follower.

    Attributes:
        replicas: Control replicas with their peer ports.
        incarnation: Start time of this process in milliseconds.
        data_folder: Folder for the highest applied revision; `None` disables persistence.
        configuration_lease_s: How long new work is accepted after a contact with the leader.
        seed: Seed of the relist jitter.
    """

    replicas: tuple[HostAddress, ...]
    incarnation: Incarnation
    data_folder: Path | None = None
    configuration_lease_s: float = CONFIGURATION_LEASE_S
    seed: int = 0


@dataclass(frozen=True, slots=True)
class ControlView:
    """Immutable view of the replicated state at one revision.

    Attributes:
        member_by_id: Members, retired ones included.
        member_by_key_hash: Member that holds a bearer key; active members take precedence.
        agreement_by_member: Active agreement of each member.
        stop_by_id: Planned stops that are not cancelled.
        quarantine_by_fingerprint: Suspected and quarantined requests.
    """

    revision: Revision = Revision(0)
    member_by_id: Mapping[MemberId, Member] = field(default_factory=dict)
    member_by_key_hash: Mapping[str, Member] = field(default_factory=dict)
    agreement_by_member: Mapping[MemberId, Agreement] = field(default_factory=dict)
    configuration_by_key: Mapping[str, ConfigurationEntry] = field(default_factory=dict)
    stop_by_id: Mapping[StopId, PlannedStop] = field(default_factory=dict)
    quarantine_by_fingerprint: Mapping[Fingerprint, Quarantine] = field(default_factory=dict)
