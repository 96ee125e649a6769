"""Property test of the storage against a model, with writes, restarts and torn writes."""

from __future__ import annotations

import tempfile
from pathlib import Path
from unittest.mock import patch

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonwing_consensus import (
    Entry,
    EntryKind,
    HardState,
    Output,
    ReplicaSet,
    RestoredState,
    Snapshot,
)
from lagoonwing_core.ids import HostId, LogIndex, Term
from lagoonwing_replication import _segments
from lagoonwing_replication._storage import Storage

SMALL_SEGMENT_BYTES = 400

steps = st.lists(
    st.one_of(
        st.tuples(st.just("append"), st.integers(1, 4)),
        st.tuples(st.just("replace"), st.integers(1, 3)),
        st.tuples(st.just("snapshot"), st.integers(0, 3)),
        st.tuples(st.just("receive"), st.integers(1, 4)),
        st.tuples(st.just("restart"), st.integers(0, 40)),
    ),
    max_size=30,
)


class Model:
    """Expected content of the storage."""

    def __init__(self) -> None:
        self.term = 1
        self.hard_state = HardState()
        self.commit = 0
        self.snapshot = Snapshot()
        self.entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    def term_at(self, index: int) -> int:
        """Return the term of an existing entry."""
        if index == self.snapshot.index:
            return self.snapshot.term
        return next(entry.term for entry in self.entries if entry.index == index)

    def write(self, output: Output) -> None:
        """Apply the durable part of an output."""
        self.hard_state = output.hard_state or self.hard_state
        if output.snapshot is not None:
            self.snapshot = output.snapshot
            self.entries = []
        for entry in output.entries:
            self.entries = [kept for kept in self.entries if kept.index < entry.index]
            self.entries.append(entry)

    def next_output(self, kind: str, size: int) -> Output:
        """Return an output that a core could produce next."""
        if kind == "receive":
            self.term += 1
            index = LogIndex(self.last_index + size)
            snapshot = Snapshot(index, Term(self.term), ReplicaSet(), b"received")
            self.commit = index
            return Output(snapshot=snapshot, log_reset=True)
        first = self.last_index + 1
        if kind == "replace":
            first = max(self.commit + 1, first - size)
        self.term += kind == "replace"
        entries = [
            Entry(LogIndex(index), Term(self.term), EntryKind.COMMAND, b"x" * 20)
            for index in range(first, first + size)
        ]
        return Output(hard_state=HardState(Term(self.term)), entries=entries)

    def restored(self) -> RestoredState:
        """Return the state that a restart must recover."""
        state = msgspec.structs.replace(self.hard_state, commit=LogIndex(self.commit))
        return RestoredState(state, self.snapshot, tuple(self.entries), self.snapshot.index)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(steps)
def test_storage_recovers_what_was_synced(drawn: list[tuple[str, int]]) -> None:
    """Each restart recovers exactly the synced state."""
    with (
        tempfile.TemporaryDirectory() as name,
        patch.object(_segments, "SEGMENT_BYTES", SMALL_SEGMENT_BYTES),
    ):
        folder = Path(name) / "log"
        storage = Storage(folder, HostId("host"))
        storage.open()
        model = Model()
        for kind, size in drawn:
            if kind == "restart":
                _restart(storage, folder, model, size)
            elif kind == "snapshot":
                _save_snapshot(storage, model, size)
            else:
                output = model.next_output(kind, size)
                model.write(output)
                model.commit = max(model.commit, model.last_index - 2)
                storage.append([output], LogIndex(model.commit))
        _restart(storage, folder, model, 0)
        storage.close()


def _restart(storage: Storage, folder: Path, model: Model, torn_bytes: int) -> None:
    """Reopen the storage after appending the start of an incomplete frame."""
    storage.close()
    segment = sorted(folder.glob("log-*.bin"))[-1]
    with segment.open("ab") as file:
        file.write(b"\xf4LW1\0\0\1\0torn frame that was never synced"[:torn_bytes])
    found = storage.open().state
    expected = model.restored()
    assert (found.snapshot, found.entries) == (expected.snapshot, expected.entries)
    assert found.hard_state.term == expected.hard_state.term
    assert found.hard_state.commit == expected.hard_state.commit


def _save_snapshot(storage: Storage, model: Model, back: int) -> None:
    """Save a snapshot at a committed entry."""
    index = max(model.snapshot.index, model.commit - back)
    if index == model.snapshot.index:
        return
    term = Term(model.term_at(index))
    model.snapshot = Snapshot(LogIndex(index), term, ReplicaSet(), b"made here")
    model.entries = [entry for entry in model.entries if entry.index > index]
    storage.save_snapshot(model.snapshot)
