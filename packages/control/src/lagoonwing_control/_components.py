"""Components of a control replica that its servers use."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_control._leader import Leader
from lagoonwing_control._proposer import Proposer
from lagoonwing_control._reads import LinearizableReads
from lagoonwing_control._state_machine import ControlStateMachine
from lagoonwing_control._watchers import Watchers
from lagoonwing_core.ids import HostId
from lagoonwing_replication import ReplicatedLog


@dataclass(frozen=True, slots=True)
class ReplicaComponents:
    """Components of one control replica.

    Attributes:
        lost_hosts: Hosts that operators declared lost; shared and updated in place.
    """

    state_machine: ControlStateMachine
    log: ReplicatedLog
    leader: Leader
    proposer: Proposer
    reads: LinearizableReads
    watchers: Watchers
    lost_hosts: set[HostId]
