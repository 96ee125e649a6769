"""Reconstruction of the log from the frames of its segments."""

from __future__ import annotations

import msgspec

from lagoonwing_consensus import Entry, HardState, RestoredState, Snapshot
from lagoonwing_core.ids import LogIndex, Term
from lagoonwing_replication._records import LogFrame, SegmentHeader
from lagoonwing_replication.errors import CorruptStorageError


class Replay:
    """Log state after the frames applied so far."""

    def __init__(self) -> None:
        self.hard_state = HardState()
        self.base_index = LogIndex(0)
        self.base_term: Term | None = Term(0)
        self.entries: list[Entry] = []

    @property
    def last_index(self) -> LogIndex:
        """Index of the last entry."""
        return LogIndex(self.base_index + len(self.entries))

    @property
    def last_term(self) -> Term | None:
        """Term of the last entry, if known."""
        return self.entries[-1].term if self.entries else self.base_term

    def start_segment(self, header: SegmentHeader) -> None:
        """Apply the header of a segment."""
        self._set_hard_state(header.hard_state)
        if (header.base_index, header.base_term) != (self.last_index, self.last_term):
            self._reset(header.base_index, header.base_term)

    def apply_frame(self, frame: LogFrame) -> int:
        """Apply the changes of a frame and return the highest index of its entries."""
        highest = 0
        for change in frame.changes:
            if change.hard_state is not None:
                self._set_hard_state(change.hard_state)
            if change.reset is not None:
                self._reset(change.reset.index, change.reset.term)
            for entry in change.entries:
                self._put_entry(entry)
                highest = max(highest, entry.index)
        state = self.hard_state
        self._set_hard_state(msgspec.structs.replace(state, commit=frame.commit))
        return highest

    def restored(self, snapshot: Snapshot) -> RestoredState:
        """Return the log after a snapshot.

        Raises:
            CorruptStorageError: Entries between snapshot and log are missing, or committed
                entries at the end.
        """
        if snapshot.index < self.base_index:
            raise CorruptStorageError(
                f"entries {snapshot.index + 1}..{self.base_index} are missing"
            )
        entries: list[Entry] = []
        if self._term_at(snapshot.index) == snapshot.term:
            entries = self.entries[snapshot.index - self.base_index :]
        last_index = entries[-1].index if entries else snapshot.index
        if self.hard_state.commit > last_index:
            raise CorruptStorageError(f"committed entries after {last_index} are missing")
        return RestoredState(self.hard_state, snapshot, tuple(entries), snapshot.index)

    def _set_hard_state(self, state: HardState) -> None:
        """Set term and vote; the commit index never decreases."""
        commit = max(state.commit, self.hard_state.commit)
        self.hard_state = msgspec.structs.replace(state, commit=commit)

    def _put_entry(self, entry: Entry) -> None:
        """Store an entry, removing existing ones from its index onwards."""
        if entry.index > self.last_index + 1:
            raise CorruptStorageError(
                f"entries between {self.last_index} and {entry.index} are missing"
            )
        if entry.index <= self.base_index:
            self._reset(LogIndex(entry.index - 1), None)
        del self.entries[entry.index - self.base_index - 1 :]
        self.entries.append(entry)

    def _reset(self, index: LogIndex, term: Term | None) -> None:
        """Drop all entries and set a new base."""
        self.base_index = index
        self.base_term = term
        self.entries.clear()

    def _term_at(self, index: LogIndex) -> Term | None:
        """Return the term of an entry, `None` if unknown."""
        offset = index - self.base_index
        if offset == 0:
            return self.base_term
        if offset > len(self.entries):
            return None
        return self.entries[offset - 1].term
