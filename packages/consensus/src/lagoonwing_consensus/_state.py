"""State of one replica, shared by the modules of the core."""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field

from lagoonwing_consensus._entry_log import EntryLog
from lagoonwing_consensus._replica_sets import ReplicaSets, replica_by_id
from lagoonwing_consensus.messages import Message
from lagoonwing_consensus.models import (
    Entry,
    HardState,
    Replica,
    ReplicaRole,
    Snapshot,
)
from lagoonwing_consensus.settings import CoreSettings
from lagoonwing_core.ids import LogIndex, ReplicaId, Term


@dataclass(slots=True)
class Output:
    """Actions that the caller must carry out after a call of the core, in this order.

    Attributes:
        immediate_messages: To be sent immediately.
        hard_state: To be synced before `messages` are sent.
        snapshot: Received snapshot, to be synced before `messages` are sent, and restored
            unless the state machine is already ahead of it.
        log_reset: Whether `snapshot` replaces all entries on disk.
        entries: To be synced before `messages` are sent; the first one overwrites the entries on
            disk from its index onwards.
        messages: To be sent after this output and all earlier ones are synced.
        committed: Committed entries, to be applied.
    """

    immediate_messages: list[Message] = field(default_factory=list)
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    log_reset: bool = False
    entries: list[Entry] = field(default_factory=list)
    messages: list[Message] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)

    @property
    def needs_sync(self) -> bool:
        """Whether the output contains anything to sync."""
        return self.hard_state is not None or self.snapshot is not None or bool(self.entries)


@dataclass(slots=True)
class SnapshotTransfer:
    """Snapshot being sent to a peer."""

    snapshot: Snapshot
    checksum: int
    offset: int = 0
    sent_at: float = 0.0


@dataclass(slots=True)
class Progress:
    """Replication progress of one peer, as known to the leader.

    Attributes:
        next_index: Next entry to send.
        match_index: Last entry known to be stored on the peer.
        heard_at: Time of the last message from the peer.
        confirmed_at: Sending time of the latest request that the peer has answered, `None` if
            it has answered none in this term.
        sent_at: Time of the last request.
        probing: Whether the leader is still searching for the last matching entry.
        inflight: Last index of each unacknowledged request with entries.
        sent_commit: Commit index sent in the last request.
        echo: Latest `replied_at` received from the peer in this term.
    """

    next_index: LogIndex
    match_index: LogIndex
    heard_at: float
    confirmed_at: float | None = None
    sent_at: float = float("-inf")
    probing: bool = False
    inflight: deque[LogIndex] = field(default_factory=deque)
    transfer: SnapshotTransfer | None = None
    sent_commit: LogIndex = LogIndex(0)
    echo: float = -math.inf


@dataclass(slots=True)
class IncomingSnapshot:
    """Partially received snapshot."""

    index: LogIndex
    term: Term
    state: bytearray


@dataclass(slots=True)
class ReplicaState:
    """In-memory state of one replica.

    Attributes:
        applied: Last entry returned in an output as committed.
        persisted_index: Last entry synced on this replica.
        leader_heard_at: Time of the last message from a leader. Startup counts as one, because
            earlier messages are not persisted.
        last_leader_id: Last known leader, which may be this replica itself.
        current_at: Latest time at which this replica is known to have had all committed entries,
            or `None`.
        may_campaign_as_non_voter: Whether a candidate with a shorter log has requested this
            replica's vote since the last message from a leader.
        term_start_index: The leader's first entry in its term.
        elected_at: Time of the election.
    """

    replica_id: ReplicaId
    settings: CoreSettings
    random: random.Random
    log: EntryLog
    sets: ReplicaSets
    snapshot: Snapshot
    term: Term
    vote: ReplicaId | None
    commit: LogIndex
    applied: LogIndex
    persisted_index: LogIndex
    last_leader_id: ReplicaId | None
    leader_heard_at: float
    election_deadline: float
    role: ReplicaRole = ReplicaRole.FOLLOWER
    leader_id: ReplicaId | None = None
    current_at: float | None = None
    may_campaign_as_non_voter: bool = False
    granted_ids: set[ReplicaId] = field(default_factory=set)
    progress_by_id: dict[ReplicaId, Progress] = field(default_factory=dict)
    term_start_index: LogIndex = LogIndex(0)
    elected_at: float = 0.0
    incoming: IncomingSnapshot | None = None
    output: Output = field(default_factory=Output)

    def peers(self) -> list[Replica]:
        """Return the other replicas of the current replica set."""
        return [
            replica
            for replica_id, replica in replica_by_id(self.sets.current).items()
            if replica_id != self.replica_id
        ]

    def persist_hard_state(self) -> None:
        """Sync term and vote before the messages of this output are sent."""
        self.output.hard_state = HardState(self.term, self.vote, self.commit, self.last_leader_id)

    def record_last_leader(self, leader_id: ReplicaId) -> None:
        """Persist the leader whose lease blocks votes from now on."""
        if self.last_leader_id == leader_id:
            return
        self.last_leader_id = leader_id
        self.persist_hard_state()

    def append(self, entry: Entry) -> None:
        """Append an entry to the log and schedule its sync."""
        self.log.append(entry)
        self.sets.append(entry)
        self.output.entries.append(entry)

    def truncate_from(self, index: LogIndex) -> None:
        """Remove the entries from `index` onwards."""
        self.log.truncate_from(index)
        self.sets.truncate_from(index)
        self.persisted_index = min(self.persisted_index, LogIndex(index - 1))

    def advance_commit(self, index: LogIndex) -> None:
        """Return newly committed entries in the output."""
        if index <= self.commit:
            return
        self.commit = index
        first = LogIndex(self.applied + 1)
        if index < first:
            return
        self.output.committed.extend(self.log.entries_between(first, index))
        self.applied = index
