"""Public types of the replicated log."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from expression import Result

from lagoonwing_consensus.models import Replica, ReplicaRole
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import HostId, LogIndex, Term


class StateMachine(Protocol):
    """Deterministic state that the log's commands change."""

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply one accepted command and return its answer.

        Args:
            index: Position of the command in the log; rises from call to call, with gaps.
            command: Command as it was proposed.
        """

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by a former snapshot, from this or another replica."""


@dataclass(frozen=True, slots=True)
class LogStatus:
    """What one replica knows of the log.

    Attributes:
        leader: Host of the leader, if known.
        lease_valid: Whether this replica leads under a valid lease.
        voters: Replicas that vote.
        learners: Replicas that copy without a vote.
        commit: Last accepted entry that this replica knows of.
        applied: Last entry that the state machine has applied.
        contact_age_by_host: Seconds since each peer was last heard, infinite if never.
    """

    role: ReplicaRole
    term: Term
    leader: HostId | None
    lease_valid: bool
    voters: tuple[Replica, ...]
    learners: tuple[Replica, ...]
    commit: LogIndex
    applied: LogIndex
    contact_age_by_host: Mapping[HostId, float]


class ReplicatedLog(Protocol):
    """Log of commands that a majority of replicas holds on disk.

    Attributes:
        on_leadership: Called on the loop with the term once this replica leads and has applied
            every entry accepted before its term, and with `None` once it leads no more.
    """

    name: str
    on_leadership: Callable[[Term | None], None]

    async def async_setup(self) -> None:
        """Recover the log and take part."""

    async def async_unload(self) -> None:
        """Stop to take part."""

    async def async_propose(self, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Append a command and wait until it is accepted and applied.

        Args:
            command: Command for the state machine.
            timeout: Seconds to wait.

        Returns:
            The state machine's answer; or a refusal `NOT_LEADER` (not appended; the detail is
            the leader's host id or empty), or `NO_QUORUM` (not known whether it was or will be
            accepted).
        """

    async def async_read_barrier(self, timeout: float) -> Result[None, Refusal]:
        """Wait until the local state holds every change accepted before the call.

        Returns:
            Nothing, while the leader's lease is valid; or a refusal `NOT_LEADER` or `NO_QUORUM`.
        """

    def lease_term(self) -> Term | None:
        """Return the term in which this replica may act as leader at this moment.

        To be asked immediately before each act that only the leader may do.
        """

    def status(self) -> LogStatus:
        """Return what this replica knows of the log."""
