"""Replicas with real folders and connections: stops, restarts, wiped and full disks."""

from __future__ import annotations

import errno
import os
import threading
from pathlib import Path

import pytest
from replication_cluster import WAIT_S, Cluster, async_open_channel, async_until

from lagoonwing_consensus import AppendRequest, ReplicaSet, RestoredState
from lagoonwing_core.ids import HostId, LogIndex, ReplicaId, Term
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_replication import StorageError
from lagoonwing_replication._storage import Storage
from lagoonwing_replication.const import PACKET_VERSION
from lagoonwing_replication.messages import BootstrapRequest, Packet


async def test_every_replica_gets_every_change(tmp_path: Path) -> None:
    """Only the leader accepts changes, and they reach all replicas in order."""
    cluster = Cluster(tmp_path, voters=3)
    await cluster.async_start()
    for number in range(20):
        await cluster.async_propose(b"%d" % number)
    leader = await cluster.async_leader()
    assert await cluster.async_until_equal() == [b"%d" % number for number in range(20)]
    assert (await leader.log.async_read_barrier(5.0)).is_ok()
    for host in cluster.host_by_id.values():
        if host is not leader:
            refusal = (await host.log.async_propose(b"x", 1.0)).error
            assert refusal.code is ResultCode.NOT_LEADER
            assert refusal.detail == leader.settings.host_id
            assert (await host.log.async_read_barrier(1.0)).is_error()
    await cluster.async_stop()


async def test_stopped_leader_is_replaced_and_returns_as_follower(tmp_path: Path) -> None:
    """Another replica leads after the leader stops; the old leader follows after its restart."""
    cluster = Cluster(tmp_path, voters=3)
    await cluster.async_start()
    await cluster.async_propose(b"before")
    former = await cluster.async_leader()
    before = former.log.status()
    await former.async_stop()
    await cluster.async_propose(b"between")
    await former.async_start()
    await cluster.async_propose(b"after")
    assert await cluster.async_until_equal() == [b"before", b"between", b"after"]
    assert former.log.status().term > before.term
    assert set(former.log.status().voters) == set(before.voters)
    await cluster.async_stop()


async def test_all_restart_at_once(tmp_path: Path) -> None:
    """Committed changes survive a stop of all replicas."""
    cluster = Cluster(tmp_path, voters=3, snapshot_entries=7, keep_entries=2)
    await cluster.async_start()
    for number in range(30):
        await cluster.async_propose(b"%d" % number)
    await cluster.async_stop()
    await cluster.async_start()
    await cluster.async_propose(b"30")
    assert await cluster.async_until_equal() == [b"%d" % number for number in range(31)]
    await cluster.async_stop()


async def test_two_losses_with_a_replacement_between(tmp_path: Path) -> None:
    """A learner replaces a lost voter, so a second loss leaves a majority."""
    cluster = Cluster(tmp_path, voters=3, learners=1)
    await cluster.async_start()
    await cluster.async_propose(b"one")
    first = await cluster.async_leader()
    await first.async_stop()

    def is_replaced() -> bool:
        leader = cluster.leader()
        if leader is None:
            return False
        voters = {voter.host_id for voter in leader.log.status().voters}
        return len(voters) == 3 and first.settings.host_id not in voters

    await async_until(is_replaced)
    second = await cluster.async_leader()
    await second.async_stop()
    await cluster.async_propose(b"two")
    await first.async_start()
    await second.async_start()
    await cluster.async_propose(b"three")
    assert await cluster.async_until_equal() == [b"one", b"two", b"three"]
    await cluster.async_stop()


async def test_wiped_replica_returns_with_new_identity(tmp_path: Path) -> None:
    """A wiped replica joins under a new identity and receives the state by snapshot."""
    cluster = Cluster(tmp_path, voters=3, snapshot_entries=5, keep_entries=0)
    await cluster.async_start()
    for number in range(12):
        await cluster.async_propose(b"%d" % number)
    host = next(host for host in cluster.host_by_id.values() if host is not cluster.leader())
    before = {voter.replica_id for voter in host.log.status().voters}
    await host.async_stop()
    host.wipe()
    await host.async_start()

    def has_new_voter() -> bool:
        leader = cluster.leader()
        if leader is None:
            return False
        voters = leader.log.status().voters
        return len(voters) == 3 and len({voter.replica_id for voter in voters} - before) == 1

    await async_until(has_new_voter)
    assert await cluster.async_until_equal() == [b"%d" % number for number in range(12)]
    assert cluster.leader().log.status().learners == ()
    await cluster.async_stop()


async def test_wiped_bootstrap_host_creates_no_second_log(tmp_path: Path) -> None:
    """The bootstrap host creates no new log while another host belongs to one."""
    cluster = Cluster(tmp_path, voters=3)
    await cluster.async_start()
    await cluster.async_propose(b"one")
    bootstrap_host = cluster.host_by_id[HostId("host-0")]
    other = cluster.host_by_id[HostId("host-1")]
    await cluster.async_until_equal()
    await cluster.async_stop()
    bootstrap_host.wipe()
    await bootstrap_host.async_start()
    await other.async_start()
    assert bootstrap_host.log.status().voters == ()
    await cluster.host_by_id[HostId("host-2")].async_start()
    await cluster.async_propose(b"two")
    assert await cluster.async_until_equal() == [b"one", b"two"]
    await cluster.async_stop()


async def test_nothing_is_committed_before_a_majority_has_synced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A change is neither acknowledged nor applied while two of three syncs are blocked."""
    cluster = Cluster(tmp_path, voters=3)
    await cluster.async_start()
    await cluster.async_propose(b"one")
    leader = await cluster.async_leader()
    await cluster.async_until_equal()
    may_sync = threading.Event()
    sync = os.fdatasync

    def wait_and_sync(descriptor: int) -> None:
        if str(leader.settings.folder) not in os.readlink(f"/proc/self/fd/{descriptor}"):
            assert may_sync.wait(WAIT_S)
        sync(descriptor)

    monkeypatch.setattr(os, "fdatasync", wait_and_sync)
    refusal = (await leader.log.async_propose(b"two", 0.2)).error
    assert refusal.code is ResultCode.NO_QUORUM
    assert all(host.machine.commands == [b"one"] for host in cluster.host_by_id.values())
    may_sync.set()
    assert (await cluster.async_until_equal())[0] == b"one"
    await cluster.async_propose(b"three")
    assert await cluster.async_until_equal() in ([b"one", b"two", b"three"], [b"one", b"three"])
    await cluster.async_stop()


async def test_messages_of_another_log_are_ignored(tmp_path: Path) -> None:
    """A leader of another log is ignored, whatever its term."""
    cluster = Cluster(tmp_path, voters=1)
    await cluster.async_start()
    await cluster.async_propose(b"one")
    host = await cluster.async_leader()
    status = host.log.status()
    request = AppendRequest(
        sender=ReplicaId("outsider"),
        receiver=status.voters[0].replica_id,
        term=Term(99),
        previous_index=LogIndex(0),
        previous_term=Term(0),
        commit=LogIndex(0),
        sent_at=0.0,
    )
    async with async_open_channel(host) as channel:
        channel.push(Packet(PACKET_VERSION, "another log", request))
        question = BootstrapRequest(PACKET_VERSION, ReplicaId("outsider"), assigns_cluster=True)
        reply = (await channel.async_call(question, 5.0)).ok
    assert reply.cluster_id == status.voters[0].replica_id
    assert host.log.status().term == status.term
    await cluster.async_stop()


async def test_bootstrap_resumes_after_a_crash(tmp_path: Path) -> None:
    """A host that crashed between assigning cluster IDs and the first entry bootstraps the log."""
    cluster = Cluster(tmp_path, voters=3)
    bootstrap_host_id = HostId("host-0")
    folder = cluster.host_by_id[bootstrap_host_id].settings.folder
    storage = Storage(folder, bootstrap_host_id)
    replica_id = storage.open().identity.replica_id
    storage.set_cluster_id(replica_id)
    storage.close()
    await cluster.async_start()
    await cluster.async_propose(b"one")
    assert await cluster.async_until_equal() == [b"one"]
    await cluster.async_stop()


async def test_bootstrap_retries_after_a_full_disk(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A host whose disk is full at the first entry retries the bootstrap."""
    failures = iter([StorageError("full", is_full=True)] * 2)
    bootstrap = Storage.bootstrap

    def fail_twice(storage: Storage, replica_set: ReplicaSet) -> RestoredState:
        error = next(failures, None)
        if error is not None:
            raise error
        return bootstrap(storage, replica_set)

    monkeypatch.setattr(Storage, "bootstrap", fail_twice)
    cluster = Cluster(tmp_path, voters=3)
    await cluster.async_start()
    await cluster.async_propose(b"one")
    assert await cluster.async_until_equal() == [b"one"]
    await cluster.async_stop()


@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.EIO])
async def test_leader_steps_down_when_its_disk_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error_number: int
) -> None:
    """A leader that can't write steps down and acknowledges nothing, but keeps running.

    With a full disk it recovers once there is space; with a failing disk it doesn't.
    """
    cluster = Cluster(tmp_path, voters=3)
    await cluster.async_start()
    await cluster.async_propose(b"one")
    leader = await cluster.async_leader()
    is_broken = True
    write = os.write

    def write_or_fail(descriptor: int, content: memoryview) -> int:
        target = os.readlink(f"/proc/self/fd/{descriptor}")
        if is_broken and str(leader.settings.folder) in target:
            write(descriptor, content[: len(content) // 2])
            raise OSError(error_number, "injected")
        return write(descriptor, content)

    monkeypatch.setattr(os, "write", write_or_fail)
    await leader.log.async_propose(b"lost or not", 1.0)
    await async_until(lambda: cluster.leader() not in (None, leader))
    assert leader.log.lease_term() is None
    await cluster.async_propose(b"two")
    is_broken = False
    if error_number == errno.ENOSPC:
        state = await cluster.async_until_equal()
        assert state[0] == b"one"
        assert state[-1] == b"two"
    await cluster.async_stop()
