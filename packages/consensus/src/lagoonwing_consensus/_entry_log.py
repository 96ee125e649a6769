"""Entries in memory after the base entry, which a snapshot covers."""

from __future__ import annotations

from collections.abc import Sequence

from lagoonwing_consensus.const import ENTRY_OVERHEAD_BYTES
from lagoonwing_consensus.errors import InvariantError
from lagoonwing_consensus.models import Entry
from lagoonwing_core.ids import LogIndex, Term


class EntryLog:
    """Contiguous entries that follow a base entry."""

    def __init__(self, base_index: LogIndex, base_term: Term, entries: Sequence[Entry]) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> LogIndex:
        """Index of the last entry."""
        return LogIndex(self.base_index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: LogIndex) -> Term | None:
        """Return the term of an entry, or `None` if the log doesn't contain it."""
        offset = index - self.base_index
        if offset == 0:
            return self.base_term
        if offset < 0 or offset > len(self._entries):
            return None
        return self._entries[offset - 1].term

    def entry_at(self, index: LogIndex) -> Entry:
        """Return an entry that the log contains."""
        return self._entries[index - self.base_index - 1]

    def append(self, entry: Entry) -> None:
        """Append the next entry.

        Raises:
            InvariantError: The entry doesn't follow the last one.
        """
        if entry.index != self.last_index + 1:
            raise InvariantError(
                f"entry {entry.index} does not follow the last entry {self.last_index}"
            )
        self._entries.append(entry)

    def truncate_from(self, index: LogIndex) -> None:
        """Remove an entry and all later ones."""
        del self._entries[index - self.base_index - 1 :]

    def entries_between(self, first: LogIndex, last: LogIndex) -> list[Entry]:
        """Return the entries from `first` to `last`, inclusive."""
        return self._entries[first - self.base_index - 1 : last - self.base_index]

    def batch_from(self, first: LogIndex, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return the entries for one message; at least one if there are any."""
        start = first - self.base_index - 1
        candidates = self._entries[start : start + max_entries]
        size = 0
        for count, entry in enumerate(candidates):
            size += len(entry.payload) + ENTRY_OVERHEAD_BYTES
            if size > max_bytes and count > 0:
                return tuple(candidates[:count])
        return tuple(candidates)

    def first_index_of_term(self, index: LogIndex) -> LogIndex:
        """Return the first entry in the log with the same term as the entry at `index`."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(LogIndex(index - 1)) == term:
            index = LogIndex(index - 1)
        return index

    def compact(self, index: LogIndex) -> None:
        """Drop the entries up to `index`, which becomes the base."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: LogIndex, term: Term) -> None:
        """Drop all entries and set a new base."""
        self._entries.clear()
        self.base_index = index
        self.base_term = term
