"""History of replica sets by log index."""

from __future__ import annotations

from lagoonwing_consensus.models import (
    Entry,
    EntryKind,
    Replica,
    ReplicaSet,
    decode_replica_set,
)
from lagoonwing_core.ids import LogIndex, ReplicaId


class ReplicaSets:
    """Replica sets in the log; the latest is in effect, committed or not."""

    def __init__(self, index: LogIndex, replica_set: ReplicaSet) -> None:
        self._history: list[tuple[LogIndex, ReplicaSet]] = [(index, replica_set)]
        self.voter_ids: frozenset[ReplicaId] = frozenset()
        self._refresh()

    @property
    def current(self) -> ReplicaSet:
        """The replica set in effect."""
        return self._history[-1][1]

    @property
    def current_index(self) -> LogIndex:
        """Index of the entry with the current set."""
        return self._history[-1][0]

    def at(self, index: LogIndex) -> ReplicaSet:
        """Return the set that was in effect at an entry."""
        return next(
            (known for start, known in reversed(self._history) if start <= index),
            self._history[0][1],
        )

    def append(self, entry: Entry) -> None:
        """Add the replica set of a new entry, if it has one."""
        if entry.kind is not EntryKind.REPLICA_SET:
            return
        self._history.append((entry.index, decode_replica_set(entry.payload)))
        self._refresh()

    def truncate_from(self, index: LogIndex) -> None:
        """Revert to the set in effect before `index`."""
        while len(self._history) > 1 and self._history[-1][0] >= index:
            self._history.pop()
        self._refresh()

    def compact(self, index: LogIndex) -> None:
        """Drop the sets superseded at or before `index`."""
        while len(self._history) > 1 and self._history[1][0] <= index:
            self._history.pop(0)

    def reset(self, index: LogIndex, replica_set: ReplicaSet) -> None:
        """Restart the history from a snapshot."""
        self._history = [(index, replica_set)]
        self._refresh()

    def _refresh(self) -> None:
        """Update the cached voter IDs."""
        self.voter_ids = frozenset(voter.replica_id for voter in self.current.voters)


def replica_by_id(replica_set: ReplicaSet) -> dict[ReplicaId, Replica]:
    """Return the replicas of a set by ID."""
    return {replica.replica_id: replica for replica in (*replica_set.voters, *replica_set.learners)}


def quorum_size(voter_count: int) -> int:
    """Return the number of voters that form a majority."""
    return voter_count // 2 + 1
