"""Seeded schedules of five replicas with real folders and connections: stops, wipes, restarts."""

from __future__ import annotations

import os
import random
from dataclasses import replace
from pathlib import Path

import pytest
from replication_cluster import CORE, Cluster, Host, async_until

from lagoonwing_core.ids import ReplicaId

FIVE_VOTERS = replace(CORE, voter_count=5)
# Maximum number of replicas that are stopped or wiped at the same time.
MAX_UNAVAILABLE = 2
STEPS = 12
# Additional seeds can be set in the environment: FIVE_REPLICA_SEEDS="100 101".
# Seed 158: a host lost its disk twice, and its promoted replacement was removed as the lost one.
SEEDS = (*range(6), 158, *map(int, os.environ.get("FIVE_REPLICA_SEEDS", "").split()))


class Schedule:
    """One cluster with a seeded sequence of events."""

    def __init__(self, folder: Path, seed: int) -> None:
        self._rng = random.Random(seed)
        self._cluster = Cluster(
            folder, voters=5, core=FIVE_VOTERS, snapshot_entries=8, keep_entries=2
        )
        self._acknowledged: list[bytes] = []
        self._wiped = 0
        self._wiped_ids: set[ReplicaId] = set()

    async def async_run(self) -> None:
        """Run the schedule and check that no acknowledged change is lost."""
        await self._cluster.async_start()
        await async_until(self._has_five_voters)
        for _ in range(STEPS):
            await self._async_step()
        await self._async_return_all()
        commands = await self._cluster.async_until_equal()
        first_by_command = {command: commands.index(command) for command in set(commands)}
        positions = [first_by_command[command] for command in self._acknowledged]
        assert positions == sorted(positions)
        await self._cluster.async_stop()

    async def _async_step(self) -> None:
        """Run one random event."""
        stopped = [host for host in self._hosts() if host.log is None]
        running = [host for host in self._hosts() if host.log is not None]
        match self._rng.randrange(4):
            case 0 if stopped:
                await self._rng.choice(stopped).async_start()
            case 1 if len(stopped) + self._wiped < MAX_UNAVAILABLE:
                await self._rng.choice(running).async_stop()
            case 2 if len(stopped) + self._wiped < MAX_UNAVAILABLE:
                await self._async_wipe(self._rng.choice(running))
            case _:
                await self._async_propose()

    async def _async_wipe(self, host: Host) -> None:
        """Wipe a replica's disk; it restarts with a new identity."""
        assert host.log is not None
        assert host.log.core is not None
        self._wiped_ids.add(host.log.core.replica_id)
        await host.async_stop()
        host.wipe()
        await host.async_start()
        self._wiped += 1
        if self._wiped == MAX_UNAVAILABLE:
            await self._async_return_all()

    async def _async_return_all(self) -> None:
        """Start all stopped replicas and wait until there are five voters."""
        for host in self._hosts():
            if host.log is None:
                await host.async_start()
        await async_until(self._has_five_voters)
        self._wiped = 0

    async def _async_propose(self) -> None:
        """Propose some changes and wait for their acknowledgement."""
        for _ in range(self._rng.randrange(1, 5)):
            command = b"%d" % len(self._acknowledged)
            await self._cluster.async_propose(command)
            self._acknowledged.append(command)

    def _hosts(self) -> list[Host]:
        """Return the hosts in a fixed order."""
        return list(self._cluster.host_by_id.values())

    def _has_five_voters(self) -> bool:
        """Return whether a leader has five voters with intact disks and recent contact to all."""
        leader = self._cluster.leader()
        if leader is None or leader.log is None:
            return False
        status = leader.log.status()
        ages = status.contact_age_by_host
        others = [
            voter.host_id for voter in status.voters if voter.host_id != leader.settings.host_id
        ]
        is_heard = all(ages.get(host_id, 9.0) < FIVE_VOTERS.voter_lost_s for host_id in others)
        voter_ids = {voter.replica_id for voter in status.voters}
        return len(voter_ids) == 5 and not voter_ids & self._wiped_ids and is_heard


@pytest.mark.parametrize("seed", SEEDS)
async def test_nothing_acknowledged_is_lost(seed: int, tmp_path: Path) -> None:
    """Up to two replicas at a time are stopped or lose their disks."""
    await Schedule(tmp_path, seed).async_run()
