"""Disks that are full for a while, one after another: the replicas take part again afterwards."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from replication_cluster import Cluster, async_until

from lagoonwing_replication import _segments

VOTERS = 3
FULL_S = 0.7
PAUSE_S = 1.2
COMMAND_INTERVAL_S = 0.01
COMMAND = b"x" * 200
# Small enough that segments and snapshots begin while a disk is full.
SEGMENT_BYTES = 1_500
SNAPSHOT_ENTRIES = 25


class FullDisks:
    """Lets calls of the operating system fail for the files of some folders.

    Attributes:
        full: Folders whose disk is full.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, calls: frozenset[str]) -> None:
        self.full: set[str] = set()
        for name in sorted(calls):
            monkeypatch.setattr(os, name, self._refusing(getattr(os, name)))

    def _refusing(self, call: Callable[..., Any]) -> Callable[..., Any]:
        """Return a call that fails for a full disk."""

        def refuse_if_full(target: Any, *arguments: Any, **options: Any) -> Any:
            is_reading = call.__name__ == "open" and not arguments[0] & os.O_CREAT
            if self.full and not is_reading and self._is_on_full_disk(target):
                raise OSError(errno.ENOSPC, "no space left")
            return call(target, *arguments, **options)

        return refuse_if_full

    def _is_on_full_disk(self, target: Any) -> bool:
        """Return whether a descriptor or path belongs to a full disk."""
        path = os.readlink(f"/proc/self/fd/{target}") if isinstance(target, int) else str(target)
        return any(path.startswith(f"{folder}/") for folder in self.full)


# Guards against a replica that takes no part any more though its disk has room again: once that has
# happened to most of them, changes are refused or stay unanswered for good.
@pytest.mark.parametrize(
    "calls",
    [
        frozenset({"open", "write", "rename"}),
        frozenset({"open"}),
        frozenset({"write"}),
        frozenset({"fdatasync"}),
        frozenset({"fsync"}),
        frozenset({"rename"}),
        frozenset({"open", "write", "fdatasync", "fsync", "rename"}),
    ],
    ids=lambda calls: "-".join(sorted(calls)),
)
async def test_replicas_recover_from_full_disks_in_turn(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, calls: frozenset[str]
) -> None:
    """Whatever call is refused, all replicas hold all changes soon after the last one has room."""
    monkeypatch.setattr(_segments, "SEGMENT_BYTES", SEGMENT_BYTES)
    cluster = Cluster(tmp_path, VOTERS, snapshot_entries=SNAPSHOT_ENTRIES, keep_entries=10)
    disks = FullDisks(monkeypatch, calls)
    await cluster.async_start()
    try:
        committed = [await cluster.async_propose(b"first")]
        stopping = asyncio.Event()

        async def async_propose_always() -> None:
            while not stopping.is_set():
                committed.append(await cluster.async_propose(COMMAND))
                await asyncio.sleep(COMMAND_INTERVAL_S)

        proposing = asyncio.ensure_future(async_propose_always())
        for host in list(cluster.host_by_id.values()):
            disks.full.add(str(host.settings.folder))
            await asyncio.sleep(FULL_S)
            disks.full.clear()
            await asyncio.sleep(PAUSE_S)
        stopping.set()
        await proposing
        await async_until(
            lambda: all(
                host.log is not None and host.log.core is not None
                for host in cluster.host_by_id.values()
            )
        )
        await cluster.async_propose(b"last")
        state = await cluster.async_until_equal()
        assert state[-1] == b"last"
        assert len(state) >= len(committed)
    finally:
        await cluster.async_stop()
