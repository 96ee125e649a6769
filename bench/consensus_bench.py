"""Benchmark of the replicated log: throughput, failover, replay and idle cost.

    python -m bench.consensus_bench --commit $(git rev-parse --short HEAD)

Each replica is a process with its own directory on disk; they communicate over loopback.
The table is written to bench/results/consensus.md.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram
from tornado.testing import bind_unused_port

from bench.consensus_replica import (
    KEY,
    PROTOCOL,
    GetReport,
    KeyValueStateMachine,
    Message,
    Propose,
    Proposed,
    ReplicaPlan,
    ReplicaReport,
)
from lagoonwing_consensus import CoreSettings, Entry, EntryKind, HardState, Output, ReplicaCore
from lagoonwing_core.ids import HostId, LogIndex, Term
from lagoonwing_replication._storage import Storage
from lagoonwing_wire import Handlers, Identity, Link

ROOT = Path(__file__).parents[1]
RESULTS = ROOT / "bench" / "results" / "consensus.md"
COMMAND = bytes(range(200))
CALL_TIMEOUT_S = 6.0
PROBE_TIMEOUT_S = 0.3
POLL_S = 0.02
SETTLE_S = 2.0
CONCURRENCIES = (1, 16, 128, 512)
MICROSECONDS = 1e6


class Cluster:
    """Replica processes and a client connection to each."""

    def __init__(self, folder: Path, voters: int, learners: int) -> None:
        hosts = []
        for number in range(voters + learners):
            address = f"127.0.0.{number + 31}"
            sock, port = bind_unused_port(address=address)
            sock.close()
            hosts.append((f"host-{number}", address, port, number < voters))
        self._hosts = tuple(hosts)
        self._folder = folder
        self.process_by_host: dict[str, subprocess.Popen[bytes]] = {}
        self.link_by_host: dict[str, Link] = {}

    async def async_start(self) -> None:
        """Start all processes and connect to them."""
        handlers: Handlers[Message] = Handlers(
            decoder=msgspec.msgpack.Decoder(Message),
            on_push=lambda channel, message: None,
            async_on_call=lambda channel, message: asyncio.sleep(0, Proposed(0)),
            on_closed=lambda channel: None,
        )
        for host_id, address, port, _ in self._hosts:
            self.start(host_id)
            link = Link(Identity(HostId("client"), KEY), address, port, PROTOCOL, handlers)
            self.link_by_host[host_id] = link
            await link.async_setup()

    def start(self, host_id: str) -> None:
        """Start one process."""
        plan = ReplicaPlan(host_id, str(self._folder / host_id), self._hosts)
        command = [sys.executable, "-m", "bench.consensus_replica", msgspec.json.encode(plan)]
        self.process_by_host[host_id] = subprocess.Popen(command, cwd=ROOT)

    def kill(self, host_id: str) -> None:
        """Kill one process and wait for its exit."""
        process = self.process_by_host[host_id]
        process.kill()
        process.wait()

    async def async_stop(self) -> None:
        """Close all connections and kill all processes."""
        for link in self.link_by_host.values():
            await link.async_unload()
        for host_id in self.process_by_host:
            self.kill(host_id)

    async def async_report(self, host_id: str) -> ReplicaReport | None:
        """Return the report of a replica, or `None` if it does not answer."""
        result = await self.link_by_host[host_id].async_call(GetReport(), PROBE_TIMEOUT_S)
        return result.ok if result.is_ok() else None

    async def async_leader(self) -> str:
        """Wait for a leader and return its host id."""
        while True:
            for host_id in self.link_by_host:
                report = await self.async_report(host_id)
                if report is not None and report.leads:
                    return host_id
            await asyncio.sleep(POLL_S)

    async def async_propose(self, host_id: str, timeout: float) -> bool:
        """Propose a command to one replica and return whether it was accepted."""
        result = await self.link_by_host[host_id].async_call(Propose(COMMAND), timeout)
        return result.is_ok() and result.ok == Proposed(0)

    async def async_until_accepted(self, without: str) -> float:
        """Propose to all other replicas until one accepts; return the time of acceptance."""
        others = [host_id for host_id in self.link_by_host if host_id != without]
        while True:
            for host_id in others:
                if await self.async_propose(host_id, PROBE_TIMEOUT_S):
                    return time.monotonic()
            await asyncio.sleep(0.005)

    async def async_wait_converged(self) -> None:
        """Wait until all replicas answer and have applied the same index."""
        while True:
            reports = [await self.async_report(host_id) for host_id in self.link_by_host]
            known = [report for report in reports if report is not None]
            applied = {report.applied for report in known}
            if len(known) == len(reports) and len(applied) == 1:
                return
            await asyncio.sleep(POLL_S)


async def async_measure_changes(cluster: Cluster, seconds: float) -> Iterator[str]:
    """Return table rows with changes per second, latency and syncs per change."""
    rows: list[str] = []
    for concurrency in CONCURRENCIES:
        leader = await cluster.async_leader()
        before = await cluster.async_report(leader)
        histogram = HdrHistogram(1, int(60 * MICROSECONDS), 3)
        end = time.monotonic() + seconds
        failed = 0

        async def async_client(
            leader: str = leader, end: float = end, histogram: HdrHistogram = histogram
        ) -> int:
            failures = 0
            while time.monotonic() < end:
                start = time.monotonic()
                if await cluster.async_propose(leader, CALL_TIMEOUT_S):
                    histogram.record_value(int((time.monotonic() - start) * MICROSECONDS))
                else:
                    failures += 1
            return failures

        failed = sum(await asyncio.gather(*(async_client() for _ in range(concurrency))))
        after = await cluster.async_report(leader)
        count = histogram.get_total_count()
        syncs = "?" if before is None or after is None else after.syncs - before.syncs
        share = "?" if isinstance(syncs, str) else f"{syncs / max(1, count):.3f}"
        rows.append(
            f"| changes of 200 bytes, {concurrency} callers | {count / seconds:.0f} a second, "
            f"p50 {histogram.get_value_at_percentile(50) / 1000:.2f} ms, "
            f"p99 {histogram.get_value_at_percentile(99) / 1000:.2f} ms, "
            f"{share} syncs a change on the leader | {seconds:.0f} s, {failed} failed |"
        )
    return iter(rows)


async def async_measure_failover(
    cluster: Cluster, rounds: int, stop: signal.Signals
) -> list[float]:
    """Return the seconds from the loss of the leader to the next accepted change, per round.

    Raises:
        RuntimeError: A resumed leader still considered itself the leader.
    """
    times: list[float] = []
    for _ in range(rounds):
        leader = await cluster.async_leader()
        start = time.monotonic()
        if stop is signal.SIGKILL:
            cluster.kill(leader)
        else:
            os.kill(cluster.process_by_host[leader].pid, signal.SIGSTOP)
        times.append(await cluster.async_until_accepted(leader) - start)
        if stop is signal.SIGKILL:
            cluster.start(leader)
        else:
            os.kill(cluster.process_by_host[leader].pid, signal.SIGCONT)
            report = await cluster.async_report(leader)
            if report is not None and report.leads:
                raise RuntimeError("the resumed replica and its successor both report leadership")
        await cluster.async_wait_converged()
    return times


async def async_measure_cost(cluster: Cluster, seconds: float, changes_per_s: float) -> list[str]:
    """Return table rows with the traffic, processor time and memory of each replica."""
    leader = await cluster.async_leader()
    before = {host_id: await cluster.async_report(host_id) for host_id in cluster.link_by_host}
    start = time.monotonic()
    while time.monotonic() < start + seconds:
        if changes_per_s:
            await cluster.async_propose(leader, CALL_TIMEOUT_S)
            await asyncio.sleep(1.0 / changes_per_s)
        else:
            await asyncio.sleep(seconds)
    elapsed = time.monotonic() - start
    rows: list[str] = []
    for host_id, earlier in before.items():
        later = await cluster.async_report(host_id)
        if earlier is None or later is None:
            continue
        role = "leader" if host_id == leader else "follower"
        sent = (later.bytes_sent - earlier.bytes_sent) / elapsed
        received = (later.bytes_received - earlier.bytes_received) / elapsed
        processor = (later.cpu_s - earlier.cpu_s) / elapsed
        rows.append(
            f"| {changes_per_s:g} changes a second, {role} {host_id} | sent {sent:.0f} and "
            f"received {received:.0f} bytes a second, {100 * processor:.2f}% of a core, "
            f"{later.memory_bytes / 2**20:.0f} MiB at most | {elapsed:.0f} s |"
        )
    return rows


def measure_replay(folder: Path, entries: int) -> str:
    """Return a table row with the time to open a log without snapshot and apply it."""
    storage = Storage(folder, HostId("replay"))
    storage.open()
    storage.append([Output(hard_state=HardState(Term(1)))], LogIndex(0))
    written = time.monotonic()
    for index in range(1, entries + 1):
        entry = Entry(LogIndex(index), Term(1), EntryKind.COMMAND, COMMAND)
        storage.append([Output(entries=[entry])], LogIndex(index - 1))
    written = time.monotonic() - written
    storage.append([Output(hard_state=HardState(Term(1)))], LogIndex(entries))
    storage.close()
    size = sum(path.stat().st_size for path in folder.iterdir())
    start = time.monotonic()
    recovered = storage.open()
    core = ReplicaCore(recovered.identity.replica_id, CoreSettings(), recovered.state, 1, 0.0)
    machine = KeyValueStateMachine()
    applied = core.start().committed
    for entry in applied:
        machine.apply(entry.index, entry.payload)
    elapsed = time.monotonic() - start
    storage.close()
    return (
        f"| replay of {len(applied)} entries without a snapshot | {elapsed * 1000:.0f} ms | "
        f"{size / 2**20:.1f} MiB of log; written with a sync each in "
        f"{written / entries * 1e6:.0f} us |"
    )


def _failover_row(name: str, times: list[float]) -> str:
    """Return the table row of a failover measurement."""
    ordered = sorted(times)
    last = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    return (
        f"| {name}, to the next accepted change | p50 {statistics.median(ordered):.2f} s, "
        f"p99 {last:.2f} s, most {ordered[-1]:.2f} s (target: 2 s at p99) | {len(ordered)} rounds |"
    )


async def async_main(kills: int, stops: int, seconds: float, parent: Path | None) -> list[str]:
    """Run all measurements and return the table rows."""
    rows: list[str] = []
    with tempfile.TemporaryDirectory(dir=parent) as name:
        folder = Path(name)
        for count in (500, 50_000):
            rows.append(measure_replay(folder / f"replay-{count}", count))
        cluster = Cluster(folder / "changes", voters=3, learners=0)
        try:
            await cluster.async_start()
            rows += await async_measure_changes(cluster, seconds)
        finally:
            await cluster.async_stop()
        cluster = Cluster(folder / "failover", voters=3, learners=1)
        try:
            await cluster.async_start()
            await cluster.async_leader()
            await asyncio.sleep(SETTLE_S)
            for changes_per_s in (0.0, 1.0):
                rows += await async_measure_cost(cluster, seconds, changes_per_s)
            for name, rounds, stop in (
                ("leader killed", kills, signal.SIGKILL),
                ("leader stopped by SIGSTOP", stops, signal.SIGSTOP),
            ):
                times = await async_measure_failover(cluster, rounds, stop)
                rows.append(_failover_row(name, times))
        finally:
            await cluster.async_stop()
    return rows


def main() -> None:
    """Run the benchmark and write the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--commit", required=True, help="commit under test")
    parser.add_argument("--kills", type=int, default=40)
    parser.add_argument("--stops", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--folder", type=Path, help="parent directory of the replicas' data")
    arguments = parser.parse_args()
    rows = asyncio.run(
        async_main(arguments.kills, arguments.stops, arguments.seconds, arguments.folder)
    )
    load = os.getloadavg()[0]
    lines = [
        "# Replicated log",
        "",
        f"Commit {arguments.commit}; replicas as processes on a machine of {os.cpu_count()} cores",
        f"whose load was {load:.1f} at the end; loopback; default settings; a sync before each",
        "acknowledgement; three voters, and one learner in the failover and cost rows.",
        "",
        "| measured | result | over |",
        "|---|---|---|",
        *rows,
    ]
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text("\n".join(lines) + "\n", encoding="utf-8")
    print("\n".join(lines))


if __name__ == "__main__":
    main()
