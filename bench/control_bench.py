"""Benchmark of control followers: python -m bench.control_bench [--followers 4,200] [--seconds 30].

Three replicas run as processes with their logs on disk; the followers and the operator run in
this process. Latency is measured from when the operator sends a change until a follower applies it.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import grpc

from bench.control_replica import KEY, REPLICAS, TOKEN, addresses
from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import HostId, Incarnation
from lagoonwing_follower import ControlCoordinator, FollowerSettings
from lagoonwing_rpc import operator_pb2 as pb
from lagoonwing_rpc import operator_pb2_grpc
from lagoonwing_wire import BYTE_COUNTERS, Identity

BASE_PORT = 7610
RESULTS = Path(__file__).parent / "results" / "control.md"
TARGET_PROPAGATION_S = 4.0
WAIT_TIMEOUT_S = 60.0
BURST_CHANGES = 100
CPU_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass
class Phase:
    """Measurements of one phase."""

    name: str
    followers: int
    propagation_s: list[float] = field(default_factory=list)
    slowest_s: list[float] = field(default_factory=list)
    bytes_per_s: float = 0.0
    follower_cpu: float = 0.0
    leader_cpu: float = 0.0


class FollowerBench:
    """Followers and an operator client in this process."""

    def __init__(self, count: int, pids: list[int]) -> None:
        self.pids = pids
        self.followers = [
            ControlCoordinator(
                FollowerSettings(addresses(BASE_PORT), Incarnation(time.time_ns()), seed=number),
                Identity(HostId(f"entry-{number}"), KEY),
                LoopClock(),
            )
            for number in range(count)
        ]
        self.channel = grpc.aio.insecure_channel(f"127.0.0.21:{BASE_PORT + 1}")
        self.stub = operator_pb2_grpc.OperatorStub(self.channel)
        self.changes = 0

    async def async_set(self) -> int:
        """Set a new configuration key; return its revision."""
        self.changes += 1
        now_ms = time.time_ns() // 1_000_000
        key = f"bench-{now_ms}-{self.changes}"
        header = pb.ChangeHeader(change_id=f"{now_ms}-{self.changes}", expected_revision=0)
        request = pb.ConfigurationChange(
            header=header, entry=pb.ConfigurationEntry(key=key, value="1")
        )
        reply = await self.stub.SetConfiguration(
            request, metadata=(("authorization", f"Bearer {TOKEN}"),), timeout=10.0
        )
        return reply.revision

    async def async_measure_change(self, phase: Phase) -> None:
        """Set one key and record the latency until each follower applies it."""
        sent = time.monotonic()
        applied_at: list[dict[int, float]] = [{} for _ in self.followers]
        removes = []
        for seen, follower in zip(applied_at, self.followers, strict=True):

            def record(
                seen: dict[int, float] = seen, follower: ControlCoordinator = follower
            ) -> None:
                seen[follower.view.revision] = time.monotonic()

            removes.append(follower.add_listener(record))
        revision = await self.async_set()
        await async_wait_until(
            lambda: all(follower.view.revision >= revision for follower in self.followers), 0.002
        )
        for remove in removes:
            remove()
        times = [
            min(at for reached, at in seen.items() if reached >= revision) - sent
            for seen in applied_at
        ]
        phase.propagation_s.extend(times)
        phase.slowest_s.append(max(times))


def record_revision(seen: dict[int, float], follower: ControlCoordinator) -> None:
    """Record the time at which a follower reached a revision."""
    seen[follower.view.revision] = time.monotonic()


async def async_wait_until(condition: Callable[[], bool], step_s: float) -> None:
    """Wait until a condition holds."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        if condition():
            return
        await asyncio.sleep(step_s)
    raise TimeoutError("condition not met within the timeout")


@contextmanager
def measured(phase: Phase, pids: list[int]):
    """Measure traffic and processor time of a phase."""
    began = time.monotonic()
    moved = BYTE_COUNTERS.sent + BYTE_COUNTERS.received
    own = time.process_time()
    theirs = [process_cpu_s(pid) for pid in pids]
    yield
    seconds = time.monotonic() - began
    moved = BYTE_COUNTERS.sent + BYTE_COUNTERS.received - moved
    phase.bytes_per_s = moved / seconds / phase.followers
    phase.follower_cpu = (time.process_time() - own) / seconds / phase.followers
    used = [process_cpu_s(pid) - before for pid, before in zip(pids, theirs, strict=True)]
    phase.leader_cpu = max(used) / seconds


def process_cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CPU_TICKS_PER_S


async def async_measure(count: int, seconds: float, pids: list[int]) -> list[Phase]:
    """Run all phases with the given number of followers."""
    bench_run = FollowerBench(count, pids)
    for follower in bench_run.followers:
        await follower.async_setup()
    await async_wait_until(
        lambda: all(follower.may_take_work() for follower in bench_run.followers), 0.05
    )
    await bench_run.async_set()
    await asyncio.sleep(3.0)
    idle = Phase("idle", count)
    with measured(idle, pids):
        await asyncio.sleep(seconds)
    steady = Phase("1 change/s", count)
    with measured(steady, pids):
        for _ in range(int(seconds)):
            began = time.monotonic()
            await bench_run.async_measure_change(steady)
            await asyncio.sleep(max(0.0, 1.0 - (time.monotonic() - began)))
    burst = Phase(f"burst of {BURST_CHANGES}", count)
    with measured(burst, pids):
        await asyncio.gather(*(bench_run.async_measure_change(burst) for _ in range(BURST_CHANGES)))
    for follower in bench_run.followers:
        await follower.async_unload()
    await bench_run.channel.close()
    return [idle, steady, burst]


def percentile(values: list[float], share: float) -> str:
    """Return a percentile in milliseconds."""
    if not values:
        return "-"
    ordered = sorted(values)
    return f"{1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))]:.1f}"


def render(phases: list[Phase], commit: str) -> str:
    """Return the table in Markdown."""
    lines = [
        "# Following the durable state",
        "",
        f"Commit {commit}, {os.cpu_count()} cores, 3 replicas on disk as processes; followers and "
        "operator share one process, whose processor time is divided by the followers.",
        f"Target: every change in force everywhere within {TARGET_PROPAGATION_S:g} s.",
        "",
        "| followers | phase | in force p50 ms | p99 ms | last follower p50 ms | p99 ms "
        "| bytes/s per follower | core per follower | core of busiest replica |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for phase in phases:
        lines.append(
            f"| {phase.followers} | {phase.name} | {percentile(phase.propagation_s, 0.5)} "
            f"| {percentile(phase.propagation_s, 0.99)} | {percentile(phase.slowest_s, 0.5)} "
            f"| {percentile(phase.slowest_s, 0.99)} | {phase.bytes_per_s:.0f} "
            f"| {100 * phase.follower_cpu:.2f}% | {100 * phase.leader_cpu:.1f}% |"
        )
    return "\n".join(lines) + "\n"


def main() -> None:
    """Run the benchmark and write the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--followers", default="4,200")
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args()
    phases: list[Phase] = []
    with tempfile.TemporaryDirectory() as folder:
        children = [
            subprocess.Popen(
                [sys.executable, "-m", "bench.control_replica", str(number), str(BASE_PORT), folder]
            )
            for number in range(REPLICAS)
        ]
        try:
            for count in options.followers.split(","):
                pids = [child.pid for child in children]
                phases += asyncio.run(async_measure(int(count), options.seconds, pids))
        finally:
            for child in children:
                child.kill()
                child.wait()
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=True
    ).stdout.strip()
    table = render(phases, commit)
    print(table)
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(table, encoding="utf-8")


if __name__ == "__main__":
    main()
