"""Replica sets by the entry that brought them into force."""

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
    """History of the replica sets in the log; the latest is in force, accepted or not."""

    def __init__(self, index: LogIndex, replica_set: ReplicaSet) -> None:
        self._history: list[tuple[LogIndex, ReplicaSet]] = [(index, replica_set)]
        self.voter_ids: frozenset[ReplicaId] = frozenset()
        self._refresh()

    @property
    def current(self) -> ReplicaSet:
        """The set in force."""
        return self._history[-1][1]

    @property
    def current_index(self) -> LogIndex:
        """Entry that brought the set in force."""
        return self._history[-1][0]

    def at(self, index: LogIndex) -> ReplicaSet:
        """Return the set that was in force at an entry."""
        return next(
            (known for start, known in reversed(self._history) if start <= index),
            self._history[0][1],
        )

    def append(self, entry: Entry) -> None:
        """Take note of a new entry."""
        if entry.kind is not EntryKind.REPLICA_SET:
            return
        self._history.append((entry.index, decode_replica_set(entry.payload)))
        self._refresh()

    def truncate_from(self, index: LogIndex) -> None:
        """Fall back to the set before `index`."""
        while len(self._history) > 1 and self._history[-1][0] >= index:
            self._history.pop()
        self._refresh()

    def compact(self, index: LogIndex) -> None:
        """Forget the sets that were replaced up to `index`."""
        while len(self._history) > 1 and self._history[1][0] <= index:
            self._history.pop(0)

    def reset(self, index: LogIndex, replica_set: ReplicaSet) -> None:
        """Start over from a snapshot."""
        self._history = [(index, replica_set)]
        self._refresh()

    def _refresh(self) -> None:
        """Rebuild what is looked up often."""
        self.voter_ids = frozenset(voter.replica_id for voter in self.current.voters)


def replica_by_id(replica_set: ReplicaSet) -> dict[ReplicaId, Replica]:
    """Return all replicas of a set."""
    return {replica.replica_id: replica for replica in (*replica_set.voters, *replica_set.learners)}


def quorum_size(voter_count: int) -> int:
    """Return how many voters are a majority."""
    return voter_count // 2 + 1
