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
    """Deterministic state machine driven by the log's commands."""

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply a committed command and return its result.

        Args:
            index: Position of the command in the log; increases with each call, with gaps.
            command: Command as proposed.
        """

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state with a snapshot, taken on this or another replica."""


@dataclass(frozen=True, slots=True)
class LogStatus:
    """Status of the log as known to one replica.

    Attributes:
        leader: Host of the leader, if known.
        is_lease_valid: Whether this replica leads with a valid lease.
        voters: Voting replicas.
        learners: Replicas that replicate without a vote.
        commit_index: Last entry known to be committed.
        applied_index: Last entry applied to the state machine.
        contact_age_by_host: Seconds since the last message from each peer, infinite if none.
    """

    role: ReplicaRole
    term: Term
    leader: HostId | None
    is_lease_valid: bool
    voters: tuple[Replica, ...]
    learners: tuple[Replica, ...]
    commit_index: LogIndex
    applied_index: LogIndex
    contact_age_by_host: Mapping[HostId, float]


class ReplicatedLog(Protocol):
    """Log of commands, stored on disk by a majority of replicas.

    Attributes:
        on_leadership_change: Called on the event loop with the term once this replica leads and has
            applied every entry committed before its term, and with `None` once it no longer leads.
    """

    name: str
    on_leadership_change: Callable[[Term | None], None]

    async def async_setup(self) -> None:
        """Recover the log and start participating."""

    async def async_unload(self) -> None:
        """Stop participating."""

    async def async_propose(self, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Append a command and wait until it is committed and applied.

        Args:
            command: Command for the state machine.
            timeout: Seconds to wait.

        Returns:
            The state machine's result; or a refusal `NOT_LEADER` (not appended; the detail is
            the leader's host ID or empty), or `NO_QUORUM` (unknown whether it was or will be
            committed).
        """

    async def async_read_barrier(self, timeout: float) -> Result[None, Refusal]:
        """Wait until the local state includes every change committed before the call.

        Returns:
            Nothing, while the leader's lease is valid; or a refusal `NOT_LEADER` or `NO_QUORUM`.
        """

    def lease_term(self) -> Term | None:
        """Return the term in which this replica may act as leader now.

        Check immediately before each action that only the leader may perform.
        """

    def status(self) -> LogStatus:
        """Return the status of the log as known to this replica."""
