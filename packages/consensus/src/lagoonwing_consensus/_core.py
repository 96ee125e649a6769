"""One Raft replica, without I/O."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence

from lagoonwing_consensus import (
    _commit,
    _election,
    _lease,
    _membership,
    _replication,
    _roles,
    _sending,
    _snapshots,
)
from lagoonwing_consensus._entry_log import EntryLog
from lagoonwing_consensus._replica_sets import ReplicaSets
from lagoonwing_consensus._state import Output, ReplicaState
from lagoonwing_consensus.messages import (
    AppendReply,
    AppendRequest,
    Message,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from lagoonwing_consensus.models import (
    Entry,
    EntryKind,
    Replica,
    ReplicaRole,
    ReplicaSet,
    RestoredState,
    Snapshot,
)
from lagoonwing_consensus.settings import CoreSettings
from lagoonwing_core.ids import LogIndex, ReplicaId, Term


class ReplicaCore:
    """Raft state machine of one replica, driven by messages and ticks.

    Each call that may have an effect returns an `Output`, which the caller must carry out in
    the order of the calls. Times are seconds on the replica's monotonic clock.
    """

    def __init__(
        self,
        replica_id: ReplicaId,
        settings: CoreSettings,
        restored: RestoredState,
        seed: int,
        now: float,
    ) -> None:
        snapshot = restored.snapshot
        log = EntryLog(snapshot.index, snapshot.term, restored.entries)
        sets = ReplicaSets(snapshot.index, snapshot.replica_set)
        for entry in restored.entries:
            sets.append(entry)
        applied = max(restored.applied, snapshot.index)
        self._state = ReplicaState(
            replica_id=replica_id,
            settings=settings,
            random=random.Random(seed),
            log=log,
            sets=sets,
            snapshot=snapshot,
            term=restored.hard_state.term,
            vote=restored.hard_state.vote,
            commit=snapshot.index,
            applied=applied,
            persisted_index=log.last_index,
            last_leader_id=restored.hard_state.last_leader_id,
            leader_heard_at=now,
            election_deadline=now,
        )
        if restored.hard_state.last_leader_id == replica_id:
            # The last lease was this replica's own, and it no longer leads.
            self._state.leader_heard_at = -math.inf
        else:
            _roles.reset_election_deadline(self._state, now)
        self._state.advance_commit(min(restored.hard_state.commit, log.last_index))

    @property
    def replica_id(self) -> ReplicaId:
        """Identity of the replica's disk."""
        return self._state.replica_id

    @property
    def role(self) -> ReplicaRole:
        """Role in the current term."""
        return self._state.role

    @property
    def term(self) -> Term:
        """Latest known term."""
        return self._state.term

    @property
    def leader_id(self) -> ReplicaId | None:
        """Leader of the term, if known."""
        return self._state.leader_id

    @property
    def commit(self) -> LogIndex:
        """Last entry known to be committed."""
        return self._state.commit

    @property
    def last_index(self) -> LogIndex:
        """Index of the last entry."""
        return self._state.log.last_index

    @property
    def snapshot_index(self) -> LogIndex:
        """Last entry that the latest snapshot covers."""
        return self._state.snapshot.index

    @property
    def replica_set(self) -> ReplicaSet:
        """Current replica set."""
        return self._state.sets.current

    @property
    def is_term_ready(self) -> bool:
        """Whether this replica leads and has committed an entry of its own term."""
        return _roles.is_term_ready(self._state)

    def is_lease_valid(self, now: float) -> bool:
        """Return whether this replica may act as leader now."""
        return _lease.is_lease_valid(self._state, now)

    def read_index(self, now: float) -> LogIndex | None:
        """Return the index that a linearizable read must wait for, or `None` if unknown.

        Only a leader with a valid lease knows it, once it has committed an entry of its term.
        """
        return _commit.read_index(self._state, now)

    def current_at(self, now: float) -> float | None:
        """Return the latest time at which this replica had all committed entries, if known."""
        return _commit.current_at(self._state, now)

    def heard_at_by_id(self) -> Mapping[ReplicaId, float]:
        """Return the time of last contact: for every peer on a leader, else for the leader only."""
        state = self._state
        if state.role is ReplicaRole.LEADER:
            return {
                peer_id: progress.heard_at for peer_id, progress in state.progress_by_id.items()
            }
        return {} if state.leader_id is None else {state.leader_id: state.leader_heard_at}

    def start(self) -> Output:
        """Return the entries that were already known to be committed at startup."""
        return self._drain_output()

    def tick(self, now: float) -> Output:
        """Process timeouts; call several times per heartbeat interval."""
        _election.tick(self._state, now)
        _membership.tick(self._state, now)
        _sending.tick(self._state, now)
        return self._drain_output()

    def step(self, message: Message, now: float) -> Output:
        """Process a message from a peer."""
        if message.receiver != self._state.replica_id:
            return self._drain_output()
        match message:
            case VoteRequest():
                _election.handle_vote_request(self._state, message, now)
            case VoteReply():
                _election.handle_vote_reply(self._state, message, now)
            case AppendRequest():
                _replication.handle_append_request(self._state, message, now)
            case AppendReply():
                _replication.handle_append_reply(self._state, message, now)
            case SnapshotRequest():
                _snapshots.handle_snapshot_request(self._state, message, now)
            case SnapshotReply():
                _snapshots.handle_snapshot_reply(self._state, message, now)
        return self._drain_output()

    def propose(self, commands: Sequence[bytes], now: float) -> Output:
        """Append commands, on the leader; their indexes follow `last_index`.

        Raises:
            ValueError: This replica does not lead.
        """
        if self._state.role is not ReplicaRole.LEADER:
            raise ValueError("only the leader appends")
        for command in commands:
            index = LogIndex(self._state.log.last_index + 1)
            self._state.append(Entry(index, self._state.term, EntryKind.COMMAND, command))
        _sending.broadcast(self._state, now)
        return self._drain_output()

    def add_learner(self, replica: Replica, now: float) -> Output:
        """Add a replica as a learner; no effect if that is not possible now."""
        _membership.add_learner(self._state, replica, now)
        return self._drain_output()

    def persisted(self, index: LogIndex, term: Term, now: float) -> Output:
        """Record that all entries of earlier outputs up to this index are synced."""
        _commit.handle_persisted(self._state, index, term, now)
        return self._drain_output()

    def make_snapshot(self, applied: LogIndex, encoded: bytes) -> Snapshot:
        """Return the snapshot of a state machine that has applied every entry to `applied`.

        Raises:
            ValueError: The entry has been compacted or is not committed.
        """
        term = self._state.log.term_at(applied)
        if term is None or applied > self._state.commit:
            raise ValueError(
                f"entry {applied} is compacted or not committed; cannot create a snapshot"
            )
        return Snapshot(applied, term, self._state.sets.at(applied), encoded)

    def compact(self, snapshot: Snapshot, keep_entries: int) -> None:
        """Drop the entries covered by a synced snapshot, except the most recent ones.

        Args:
            snapshot: Locally created snapshot that is already on disk.
            keep_entries: Number of entries kept for slightly lagging peers.
        """
        _snapshots.compact(self._state, snapshot, keep_entries)

    def _drain_output(self) -> Output:
        """Return and reset the accumulated output."""
        output = self._state.output
        self._state.output = Output()
        if output.hard_state is not None:
            # After a crash, a replica could reuse a term that was not synced.
            output.messages = [*output.immediate_messages, *output.messages]
            output.immediate_messages = []
        return output
