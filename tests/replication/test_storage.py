"""Recovery of a replica's storage after crashes and corruption."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from lagoonwing_consensus import Entry, EntryKind, HardState, Output, ReplicaSet, Snapshot
from lagoonwing_core.ids import HostId, LogIndex, ReplicaId, Term
from lagoonwing_replication import CorruptStorageError, StorageError, _segments
from lagoonwing_replication._files import decode_frame
from lagoonwing_replication._records import LogChange, LogFrame
from lagoonwing_replication._replay import Replay
from lagoonwing_replication._storage import Storage

HOST = HostId("host")


def _entry(index: int, term: int = 1, payload: bytes = b"payload") -> Entry:
    """Return a command entry."""
    return Entry(LogIndex(index), Term(term), EntryKind.COMMAND, payload)


@pytest.fixture
def storage(tmp_path: Path):
    """Opened storage with three synced batches of two entries each."""
    opened = Storage(tmp_path / "log", HOST)
    opened.open()
    opened.append([Output(hard_state=HardState(Term(1), ReplicaId("a")))], LogIndex(0))
    for first in (1, 3, 5):
        opened.append([Output(entries=[_entry(first), _entry(first + 1)])], LogIndex(first - 1))
    yield opened
    opened.close()


def _segment(storage: Storage) -> Path:
    """Return the last segment file."""
    return sorted(storage._folder.glob("log-*.bin"))[-1]


def test_all_synced_data_is_recovered(storage: Storage) -> None:
    """A restart recovers entries, vote and identity."""
    identity = storage.open().identity
    recovered = storage.open()
    assert [entry.index for entry in recovered.state.entries] == [1, 2, 3, 4, 5, 6]
    assert recovered.state.hard_state == HardState(Term(1), ReplicaId("a"), LogIndex(4))
    assert recovered.identity == identity
    assert not recovered.is_new


@pytest.mark.parametrize("cut_bytes", range(1, 50, 7))
def test_torn_tail_is_truncated(storage: Storage, cut_bytes: int) -> None:
    """An incomplete write is truncated, and the log continues after it."""
    segment = _segment(storage)
    content = segment.read_bytes()
    segment.write_bytes(content[:-cut_bytes])
    recovered = storage.open()
    assert recovered.torn_bytes > 0
    assert [entry.index for entry in recovered.state.entries] == [1, 2, 3, 4]
    storage.append([Output(entries=[_entry(5, 2)])], LogIndex(4))
    assert storage.open().state.entries[-1] == _entry(5, 2)


def test_zeroed_tail_is_truncated(storage: Storage) -> None:
    """A tail whose length was synced before its content is truncated."""
    segment = _segment(storage)
    segment.write_bytes(segment.read_bytes()[:-40] + bytes(4096))
    assert len(storage.open().state.entries) == 4


@pytest.mark.parametrize("share", [0.05, 0.3, 0.5, 0.7])
def test_corruption_in_the_middle_is_refused(storage: Storage, share: float) -> None:
    """A replica with a corrupt synced log doesn't start."""
    segment = _segment(storage)
    content = bytearray(segment.read_bytes())
    content[int(len(content) * share)] ^= 0x40
    segment.write_bytes(content)
    with pytest.raises(CorruptStorageError):
        storage.open()


def test_missing_frame_is_refused(storage: Storage) -> None:
    """A log that lacks the frame with its vote is refused, even if its entries are complete."""
    segment = _segment(storage)
    content = segment.read_bytes()
    header = decode_frame(content, 0)
    vote = decode_frame(content, header.end)
    segment.write_bytes(content[: header.end] + content[vote.end :])
    with pytest.raises(CorruptStorageError):
        storage.open()


def test_missing_committed_entries_are_refused() -> None:
    """A log that ends before an entry that it knows to be committed is refused."""
    replay = Replay()
    replay.apply_frame(LogFrame((LogChange(entries=(_entry(1), _entry(2))),), LogIndex(3)))
    with pytest.raises(CorruptStorageError):
        replay.restored(Snapshot())


def test_nothing_is_written_after_a_failed_write(
    storage: Storage, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a partial write the storage refuses writes until it is reopened."""
    write = os.write

    def write_half(descriptor: int, content: memoryview) -> int:
        write(descriptor, content[: len(content) // 2])
        raise OSError(errno.ENOSPC, "injected")

    with monkeypatch.context() as patch, pytest.raises(StorageError):
        patch.setattr(os, "write", write_half)
        storage.append([Output(entries=[_entry(7)])], LogIndex(6))
    with pytest.raises(StorageError):
        storage.append([Output(entries=[_entry(7)])], LogIndex(6))
    assert len(storage.open().state.entries) == 6
    storage.append([Output(entries=[_entry(7, 2)])], LogIndex(6))
    assert storage.open().state.entries[-1] == _entry(7, 2)


@pytest.mark.parametrize("pattern", ["identity.bin", "log-*.bin"])
def test_missing_files_are_refused(storage: Storage, pattern: str) -> None:
    """A folder with missing files is neither new nor usable."""
    for path in storage._folder.glob(pattern):
        path.unlink()
    with pytest.raises(CorruptStorageError):
        storage.open()


def test_crash_before_the_identity_restarts_initialization(tmp_path: Path) -> None:
    """An interrupted first start is repeated."""
    storage = Storage(tmp_path, HOST)
    first = storage.open().identity
    storage.close()
    (tmp_path / "identity.bin").unlink()
    recovered = storage.open()
    assert recovered.is_new
    assert recovered.identity.replica_id != first.replica_id
    storage.close()


def test_folder_of_another_host_or_process_is_refused(storage: Storage) -> None:
    """A folder can be used by one host and one process only."""
    with pytest.raises(StorageError):
        Storage(storage._folder, HOST).open()
    storage.close()
    with pytest.raises(CorruptStorageError):
        Storage(storage._folder, HostId("other")).open()


def test_nothing_is_written_after_the_folder_is_closed(storage: Storage) -> None:
    """A snapshot that comes after the close is refused; another process may own the folder."""
    storage.close()
    before = sorted(storage._folder.iterdir())
    with pytest.raises(StorageError):
        storage.save_snapshot(Snapshot(index=LogIndex(4), term=Term(1), state=b"state"))
    assert sorted(storage._folder.iterdir()) == before


def test_replaced_entries_stay_replaced(storage: Storage) -> None:
    """An entry with an existing index replaces it and removes all later ones."""
    storage.append([Output(entries=[_entry(5, 2)])], LogIndex(4))
    entries = storage.open().state.entries
    assert [(entry.index, entry.term) for entry in entries[3:]] == [(4, 1), (5, 2)]


@pytest.mark.parametrize("segment_bytes", [1, 300, 1 << 20])
def test_snapshot_replaces_the_beginning_of_the_log(
    storage: Storage, monkeypatch: pytest.MonkeyPatch, segment_bytes: int
) -> None:
    """Full segments whose entries a snapshot covers are removed."""
    monkeypatch.setattr(_segments, "SEGMENT_BYTES", segment_bytes)
    for index in range(7, 30):
        storage.append([Output(entries=[_entry(index)])], LogIndex(index - 1))
    storage.save_snapshot(Snapshot(LogIndex(25), Term(1), ReplicaSet(), b"state"))
    recovered = storage.open().state
    assert recovered.snapshot.state == b"state"
    assert [entry.index for entry in recovered.entries] == [26, 27, 28, 29]
    storage.append([Output(entries=[_entry(30)])], LogIndex(29))
    assert storage.open().state.entries[-1].index == 30


@pytest.mark.parametrize("is_reset_synced", [True, False])
def test_received_snapshot_replaces_a_conflicting_log(
    storage: Storage, is_reset_synced: bool
) -> None:
    """Conflicting entries are removed, also after a crash between the two writes."""
    snapshot = Snapshot(LogIndex(5), Term(3), ReplicaSet(), b"state")
    if is_reset_synced:
        storage.append([Output(snapshot=snapshot, log_reset=True)], LogIndex(5))
    else:
        storage._write_snapshot(snapshot)
    recovered = storage.open().state
    assert recovered.snapshot == snapshot
    assert recovered.entries == ()
    storage.append([Output(entries=[_entry(6, 3)])], LogIndex(5))
    assert storage.open().state.entries == (_entry(6, 3),)
