"""What a replica finds on its disk after crashes and damage."""

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
    """Return a command's entry."""
    return Entry(LogIndex(index), Term(term), EntryKind.COMMAND, payload)


@pytest.fixture
def storage(tmp_path: Path):
    """An opened folder with three synced batches of two entries each."""
    opened = Storage(tmp_path / "log", HOST)
    opened.open()
    opened.append([Output(hard_state=HardState(Term(1), ReplicaId("a")))], LogIndex(0))
    for first in (1, 3, 5):
        opened.append([Output(entries=[_entry(first), _entry(first + 1)])], LogIndex(first - 1))
    yield opened
    opened.close()


def _segment(storage: Storage) -> Path:
    """Return the folder's last segment."""
    return sorted(storage._folder.glob("log-*.bin"))[-1]


def test_everything_synced_is_found_again(storage: Storage) -> None:
    """A restart finds entries, vote and identity."""
    identity = storage.open().identity
    recovered = storage.open()
    assert [entry.index for entry in recovered.state.entries] == [1, 2, 3, 4, 5, 6]
    assert recovered.state.hard_state == HardState(Term(1), ReplicaId("a"), LogIndex(4))
    assert recovered.identity == identity
    assert not recovered.is_new


@pytest.mark.parametrize("cut_bytes", range(1, 50, 7))
def test_torn_tail_is_cut_off(storage: Storage, cut_bytes: int) -> None:
    """A write that was not finished is removed, and the log goes on behind it."""
    segment = _segment(storage)
    content = segment.read_bytes()
    segment.write_bytes(content[:-cut_bytes])
    recovered = storage.open()
    assert recovered.torn_bytes > 0
    assert [entry.index for entry in recovered.state.entries] == [1, 2, 3, 4]
    storage.append([Output(entries=[_entry(5, 2)])], LogIndex(4))
    assert storage.open().state.entries[-1] == _entry(5, 2)


def test_zeroed_tail_is_cut_off(storage: Storage) -> None:
    """A tail whose length was synced before its content is removed."""
    segment = _segment(storage)
    segment.write_bytes(segment.read_bytes()[:-40] + bytes(4096))
    assert len(storage.open().state.entries) == 4


@pytest.mark.parametrize("share", [0.05, 0.3, 0.5, 0.7])
def test_damage_in_the_middle_is_refused(storage: Storage, share: float) -> None:
    """A replica whose synced log is damaged doesn't start."""
    segment = _segment(storage)
    content = bytearray(segment.read_bytes())
    content[int(len(content) * share)] ^= 0x40
    segment.write_bytes(content)
    with pytest.raises(CorruptStorageError):
        storage.open()


def test_missing_frame_is_refused(storage: Storage) -> None:
    """A log without the frame of its vote is refused, though its entries are whole."""
    segment = _segment(storage)
    content = segment.read_bytes()
    header = decode_frame(content, 0)
    vote = decode_frame(content, header.end)
    segment.write_bytes(content[: header.end] + content[vote.end :])
    with pytest.raises(CorruptStorageError):
        storage.open()


def test_accepted_entries_that_are_missing_are_refused() -> None:
    """A log that ends before an entry that it knows to be accepted is refused."""
    replay = Replay()
    replay.apply_frame(LogFrame((LogChange(entries=(_entry(1), _entry(2))),), LogIndex(3)))
    with pytest.raises(CorruptStorageError):
        replay.restored(Snapshot())


def test_nothing_is_written_behind_a_failed_write(
    storage: Storage, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a write that failed half-way the folder takes no more until it is opened again."""
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
    """A folder from which a part is gone is neither new nor usable."""
    for path in storage._folder.glob(pattern):
        path.unlink()
    with pytest.raises(CorruptStorageError):
        storage.open()


def test_crash_before_the_identity_is_a_new_folder(tmp_path: Path) -> None:
    """A first start that was cut short is begun again."""
    storage = Storage(tmp_path, HOST)
    first = storage.open().identity
    storage.close()
    (tmp_path / "identity.bin").unlink()
    recovered = storage.open()
    assert recovered.is_new
    assert recovered.identity.replica_id != first.replica_id
    storage.close()


def test_folder_of_another_host_or_process_is_refused(storage: Storage) -> None:
    """A folder serves one host and one process."""
    with pytest.raises(StorageError):
        Storage(storage._folder, HOST).open()
    storage.close()
    with pytest.raises(CorruptStorageError):
        Storage(storage._folder, HostId("other")).open()


def test_replaced_entries_stay_replaced(storage: Storage) -> None:
    """A later entry of an index removes it and those after it."""
    storage.append([Output(entries=[_entry(5, 2)])], LogIndex(4))
    entries = storage.open().state.entries
    assert [(entry.index, entry.term) for entry in entries[3:]] == [(4, 1), (5, 2)]


@pytest.mark.parametrize("segment_bytes", [1, 300, 1 << 20])
def test_snapshot_replaces_the_start(
    storage: Storage, monkeypatch: pytest.MonkeyPatch, segment_bytes: int
) -> None:
    """A snapshot covers entries, whose segments are removed once they are full."""
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
def test_received_snapshot_replaces_a_contradicting_log(
    storage: Storage, is_reset_synced: bool
) -> None:
    """Entries that a snapshot contradicts are gone, also after a crash between the two writes."""
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
