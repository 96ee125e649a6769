"""Applies committed entries to the state machine and completes their proposals."""

from __future__ import annotations

from collections.abc import Callable

from lagoonwing_consensus import (
    Entry,
    EntryKind,
    Output,
    Replica,
    ReplicaSet,
    Snapshot,
    decode_replica_set,
)
from lagoonwing_core.callback import callback
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import LogIndex
from lagoonwing_replication._proposals import Proposals
from lagoonwing_replication.models import StateMachine


class Applier:
    """Applies committed entries to the state machine.

    Attributes:
        applied: Last entry applied to the state machine.
        committed_replica_set: Most recently committed replica set.
        bytes_since_snapshot: Bytes of payload applied since the last snapshot was started.
    """

    def __init__(
        self,
        state_machine: StateMachine,
        proposals: Proposals,
        on_replica: Callable[[Replica], None],
    ) -> None:
        self.applied = LogIndex(0)
        self.committed_replica_set = ReplicaSet()
        self.bytes_since_snapshot = 0
        self._state_machine = state_machine
        self._proposals = proposals
        self._on_replica = on_replica

    @callback
    def apply_output(self, output: Output) -> None:
        """Apply the snapshot and the committed entries of an output."""
        if output.snapshot is not None:
            self.restore(output.snapshot)
        for entry in output.committed:
            self._apply(entry)

    @callback
    def restore(self, snapshot: Snapshot) -> None:
        """Restore a snapshot, unless the state is already ahead of it."""
        if snapshot.index <= self.applied:
            return
        self._state_machine.restore(snapshot.state)
        self.applied = snapshot.index
        self.bytes_since_snapshot = 0
        self._commit_replica_set(snapshot.replica_set)

    @callback
    def encode_state(self) -> bytes:
        """Return the encoded state for a snapshot."""
        self.bytes_since_snapshot = 0
        return self._state_machine.snapshot()

    @callback
    def _apply(self, entry: Entry) -> None:
        """Apply a committed entry."""
        match entry.kind:
            case EntryKind.COMMAND:
                answer = self._state_machine.apply(entry.index, entry.payload)
                self._proposals.complete(entry.index, entry.term, answer)
            case EntryKind.REPLICA_SET:
                self._commit_replica_set(decode_replica_set(entry.payload))
            case EntryKind.NO_OP:
                pass
        self.applied = entry.index
        self.bytes_since_snapshot += len(entry.payload)

    @callback
    def _commit_replica_set(self, replica_set: ReplicaSet) -> None:
        """Log a change of voters and report every replica of the set."""
        before = {voter.replica_id for voter in self.committed_replica_set.voters}
        after = {voter.replica_id for voter in replica_set.voters}
        self.committed_replica_set = replica_set
        if before != after:
            log_event(
                EventCode.VOTER_CHANGED,
                added=",".join(sorted(after - before)),
                removed=",".join(sorted(before - after)),
                voters=len(after),
                learners=len(replica_set.learners),
            )
        for replica in (*replica_set.voters, *replica_set.learners):
            self._on_replica(replica)
