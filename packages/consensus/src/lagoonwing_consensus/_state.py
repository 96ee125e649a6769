"""Tables of one replica, over which the core's systems run."""

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
    """What the shell must do after a call of the core, in this order.

    Attributes:
        immediate_messages: To be sent at once.
        hard_state: To be synced before `messages` are sent.
        snapshot: Received snapshot, to be synced before `messages` are sent, and restored
            unless the state machine is past it.
        log_reset: Whether the entries on disk are replaced by `snapshot`.
        entries: To be synced before `messages` are sent; the first one replaces any entry on
            disk with its index or a higher one.
        messages: To be sent once this output and all earlier ones are synced.
        committed: Accepted entries, to be applied.
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
        """Whether anything must be synced."""
        return self.hard_state is not None or self.snapshot is not None or bool(self.entries)


@dataclass(slots=True)
class SnapshotTransfer:
    """Snapshot on its way to one peer."""

    snapshot: Snapshot
    checksum: int
    offset: int = 0
    sent_at: float = 0.0


@dataclass(slots=True)
class Progress:
    """What the leader knows of one peer.

    Attributes:
        next_index: Entry to send next.
        match_index: Last entry that the peer holds for certain.
        heard_at: Time of the peer's last message.
        confirmed_at: Time of sending of the last request that the peer has answered, or
            nothing in this term yet.
        sent_at: Time of the last request.
        probing: Whether it is unknown where the logs part.
        inflight: Last index of each unanswered request with entries.
        sent_commit: Accepted entry named in the last request.
        echo: Time on the peer's own clock that it has told last in this term.
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
    """Snapshot of which some parts have arrived."""

    index: LogIndex
    term: Term
    state: bytearray


@dataclass(slots=True)
class ReplicaState:
    """Everything that one replica knows.

    Attributes:
        applied: Last entry handed out as accepted.
        persisted_index: Last own entry that is synced.
        leader_heard_at: Time of the last message of a leader; the start counts as one, for the
            messages before it are forgotten.
        last_leader_id: Leader that was followed last, this replica itself included.
        current_at: Latest time at which the accepted entries known here were all that there
            were, or nothing yet.
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
        """Return the other replicas of the set in force."""
        return [
            replica
            for replica_id, replica in replica_by_id(self.sets.current).items()
            if replica_id != self.replica_id
        ]

    def persist_hard_state(self) -> None:
        """Have term and vote synced before the messages of this output."""
        self.output.hard_state = HardState(self.term, self.vote, self.commit, self.last_leader_id)

    def record_last_leader(self, leader_id: ReplicaId) -> None:
        """Have the leader synced to whom promises are made from now on."""
        if self.last_leader_id == leader_id:
            return
        self.last_leader_id = leader_id
        self.persist_hard_state()

    def append(self, entry: Entry) -> None:
        """Add an entry to the log and have it synced."""
        self.log.append(entry)
        self.sets.append(entry)
        self.output.entries.append(entry)

    def truncate_from(self, index: LogIndex) -> None:
        """Remove the entries from `index` on."""
        self.log.truncate_from(index)
        self.sets.truncate_from(index)
        self.persisted_index = min(self.persisted_index, LogIndex(index - 1))

    def advance_commit(self, index: LogIndex) -> None:
        """Hand out the entries that have become accepted."""
        if index <= self.commit:
            return
        self.commit = index
        first = LogIndex(self.applied + 1)
        if index < first:
            return
        self.output.committed.extend(self.log.entries_between(first, index))
        self.applied = index
