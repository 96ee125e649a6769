"""Benchmark of the entry host relay: throughput, processor time, latency and memory.

Run as `python -m bench.entry_bench`; writes `bench/results/entry.md`.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import shutil
import statistics
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from bench.entry.client import ClientPlan
from lagoonwing_fakes.deployment import CALLER_PORT, Deployment, DeploymentPlan, HostPolicies
from lagoonwing_fakes.models import FakeKind, FakeSettings

RESULTS = Path(__file__).parent / "results" / "entry.md"
MEMBER_KEY = "bench-member-key"
ENDPOINTS = 3
SLOTS = 2000
CLIENTS = 3
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True)
class Usage:
    """Processor time and memory of a process."""

    cpu_s: float
    resident_bytes: int


@dataclass(frozen=True)
class Run:
    """Result of one load run."""

    seconds: float
    requests: int
    tokens: int
    failed: int
    cpu_s: float
    first_token_s: list[float]


def usage_of(pid: int) -> Usage:
    """Return the accumulated usage of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    return Usage(cpu_s, int(fields[21]) * _PAGE_BYTES)


class EntryBench:
    """One entry host, one control replica and a few simulated whole-model endpoints."""

    def __init__(self, folder: Path, seconds: float, route_policy: str) -> None:
        policies = HostPolicies(route_policy=route_policy)
        plan = DeploymentPlan(
            folder, network="88.1", entries=1, replicas=1, voters=1, policies=policies
        )
        self.deployment = Deployment(plan)
        self.seconds = seconds

    async def async_setup(self) -> None:
        """Start the hosts and create the member and its agreement."""
        self.deployment.start_hosts()
        await self.deployment.async_wait_ready()
        run_lagoonctl = self.deployment.run_lagoonctl
        run_lagoonctl("member", "create", "bench", "--key", MEMBER_KEY)
        run_lagoonctl("agreement", "create", "bench", "--member", "bench", "--weight", "1")

    async def async_start_endpoints(self, **options: Any) -> None:
        """Start the simulated endpoints and allow 3 s for their announcements."""
        for number in range(ENDPOINTS):
            settings = FakeSettings(
                kind=FakeKind.WHOLE_MODEL,
                endpoint_id=f"w{number}",
                slots=SLOTS,
                log_tokens=False,
                announced_tokens_per_s=1e6,
                **options,
            )
            self.deployment.start_endpoint(settings)
        await asyncio.sleep(3.0)

    def stop_endpoints(self) -> None:
        """Kill the simulated endpoints."""
        for name in [name for name in self.deployment.process_by_name if name.startswith("w")]:
            self.deployment.kill(name)

    @property
    def pid(self) -> int:
        """Process id of the entry host."""
        return self.deployment.process_by_name["entry-1"].popen.pid

    def plan(self, **options: Any) -> ClientPlan:
        """Return a load plan for the entry host."""
        values: dict[str, Any] = {
            "address": self.deployment.entry_address(1),
            "port": CALLER_PORT,
            "key": MEMBER_KEY,
            "duration_s": self.seconds,
            "streamed": True,
        }
        return ClientPlan(**{**values, **options})

    def direct_plan(self, **options: Any) -> ClientPlan:
        """Return the same load plan for one endpoint, without the relay."""
        address, port = self.deployment.endpoint_address("w0").split(":")
        return self.plan(address=address, port=int(port), **options)

    async def async_load(self, plan: ClientPlan, clients: int = CLIENTS) -> Run:
        """Run a load with several generator processes."""
        before = usage_of(self.pid)
        outputs = await asyncio.gather(*(_async_client(plan) for _ in range(clients)))
        after = usage_of(self.pid)
        return Run(
            plan.duration_s,
            sum(output["requests"] for output in outputs),
            sum(output["tokens"] for output in outputs),
            sum(output["failed"] for output in outputs),
            after.cpu_s - before.cpu_s,
            [second for output in outputs for second in output["first_token_s"]],
        )


async def _async_client(plan: ClientPlan) -> dict[str, Any]:
    """Run one load generator process."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "bench.entry.client", msgspec.json.encode(plan).decode()),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    decoded: dict[str, Any] = msgspec.json.decode(output)
    return decoded


def percentile(values: list[float], share: float) -> float:
    """Return a percentile in milliseconds."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000


async def async_measure(bench: EntryBench) -> list[tuple[str, str]]:
    """Run all measurements; return name and value of each."""
    rows: list[tuple[str, str]] = []
    await bench.async_start_endpoints()
    await bench.async_load(bench.plan(concurrency=8, prompt="warm [tokens=1]"))

    short = await bench.async_load(
        bench.plan(concurrency=20, prompt="short [tokens=1]", streamed=False)
    )
    rate = short.requests / short.seconds
    rows.append(("whole answers of 1 token, closed loop of 60: requests a second", f"{rate:.0f}"))
    cost_ms = short.cpu_s / max(1, short.requests) * 1000
    rows.append(("processor time per whole request", f"{cost_ms:.2f} ms"))
    rows.append(("failed", str(short.failed)))

    half = rate / 2
    options: dict[str, Any] = {"concurrency": 20, "prompt": "half [tokens=1]"}
    through = await bench.async_load(bench.plan(rate_per_s=half / CLIENTS, **options))
    direct = await bench.async_load(
        bench.direct_plan(rate_per_s=half / CLIENTS / ENDPOINTS, **options)
    )
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        there = percentile(through.first_token_s, share)
        without = percentile(direct.first_token_s, share)
        text = f"{there - without:.2f} ms ({there:.2f} through, {without:.2f} direct)"
        rows.append((f"added to the first token at half load ({half:.0f}/s), {name}", text))
    bench.stop_endpoints()
    rows += await async_measure_streams(bench)
    return rows


async def async_measure_streams(bench: EntryBench) -> list[tuple[str, str]]:
    """Measure rate-limited streams: processor time per token, and memory."""
    rows: list[tuple[str, str]] = []
    per_stream = 20.0
    await bench.async_start_endpoints(tokens_per_s=per_stream * SLOTS, jitter=0.2)
    await bench.async_load(bench.plan(concurrency=8, prompt="warm [tokens=5]"))
    before = usage_of(bench.pid).resident_bytes
    for streams in (30, 90, 300, 600):
        plan = bench.plan(concurrency=streams // CLIENTS, prompt="long [tokens=100000]")
        run = await bench.async_load(plan)
        cost_us = run.cpu_s / max(1, run.tokens) * 1e6
        load = run.cpu_s / run.seconds * 100
        text = f"{run.tokens / run.seconds:.0f} at {load:.0f}% of a core, {cost_us:.0f} us a token"
        rows.append((f"{streams} streams at {per_stream:.0f} tokens/s: tokens a second", text))
    rows.append(await _async_measure_memory(bench, before))
    return rows


async def _async_measure_memory(bench: EntryBench, before: int) -> tuple[str, str]:
    """Measure memory per open stream."""
    streams = 1500
    plan = bench.plan(concurrency=streams // CLIENTS, prompt="open [tokens=100000]")
    load = asyncio.create_task(bench.async_load(plan))
    samples: list[int] = []
    while not load.done():
        await asyncio.sleep(0.2)
        samples.append(usage_of(bench.pid).resident_bytes)
    grown = (max(samples) - before) / streams / 1024
    return f"resident memory per open stream, {streams} open", f"{grown:.0f} KiB"


async def async_main(seconds: float, runs: int, route_policy: str) -> None:
    """Run the benchmark several times and write the table."""
    columns: list[list[tuple[str, str]]] = []
    for _ in range(runs):
        folder = Path(tempfile.mkdtemp(prefix="lagoonwing-entry-bench-"))
        bench = EntryBench(folder, seconds, route_policy)
        try:
            await bench.async_setup()
            columns.append(await async_measure(bench))
        finally:
            bench.deployment.close()
            shutil.rmtree(folder, ignore_errors=True)
    lines = [
        f"| one entry process, {route_policy} | " + " | ".join(f"run {n + 1}" for n in range(runs)),
        "|---" * (runs + 1) + "|",
    ]
    for cells in zip(*columns, strict=True):
        lines.append(f"| {cells[0][0]} | " + " | ".join(text for _, text in cells) + " |")
    lines[0] += " |"
    table = "\n".join(lines) + "\n"
    print(table)
    RESULTS.parent.mkdir(exist_ok=True)
    load = statistics.mean(os.getloadavg())
    RESULTS.write_text(f"{table}\nMean load of the machine's {os.cpu_count()} cores: {load:.1f}.\n")


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--route-policy", default="flow")
    chosen = parser.parse_args()
    asyncio.run(async_main(chosen.seconds, chosen.runs, chosen.route_policy))
