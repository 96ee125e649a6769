"""Benchmark of entry-driven against chained pipelines: latency and processor time per token.

Run as `python -m bench.stage_bench`; writes `bench/results/stages.md`. The stages run no layers,
so that only the transport cost is measured. The size of the activations is a parameter.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import uvloop

from bench.entry.stages import adapter, stage_record
from lagoonwing_core.ids import Attempt, RequestId
from lagoonwing_core.models import LayerRange
from lagoonwing_entry import HttpEndpointAdapter
from lagoonwing_entry.models import DispatchId, DispatchTarget, StageStep

RESULTS = Path(__file__).parent / "results" / "stages.md"
ADDRESS = "127.88.2.1"
FIRST_PORT = 8600
LAYERS = LayerRange(0, 1)


def start_stages(count: int, chained: bool) -> list[subprocess.Popen[bytes]]:
    """Start the stage processes of a pipeline."""
    processes = []
    for number in range(count):
        following = f"{ADDRESS}:{FIRST_PORT + number + 1}"
        next_address = following if chained and number + 1 < count else "-"
        arguments = ["-m", "bench.entry.chain_stage", ADDRESS, str(FIRST_PORT + number)]
        processes.append(subprocess.Popen([sys.executable, *arguments, next_address]))
    return processes


async def async_wait_listening(count: int) -> None:
    """Wait until all stages are listening."""
    for number in range(count):
        while True:
            try:
                _, writer = await asyncio.open_connection(ADDRESS, FIRST_PORT + number)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            break


async def async_sequence(
    calls: HttpEndpointAdapter, targets: list[DispatchTarget], number: int, tokens: int, size: int
) -> None:
    """Pass the tokens of one request through the targets."""
    state = msgspec.Raw(msgspec.json.encode("x" * size))
    for token in range(tokens):
        for target in targets:
            dispatch_id = DispatchId(RequestId(f"r{number}"), Attempt(256))
            state = await calls.async_step(target, StageStep(dispatch_id, token, LAYERS, state))


async def async_measure(targets: list[DispatchTarget], width: int, tokens: int, size: int) -> str:
    """Return latency and processor time per token with `width` concurrent requests."""
    calls = adapter()
    await asyncio.gather(*(async_sequence(calls, targets, n, 5, size) for n in range(width)))
    cpu, began = time.process_time(), time.perf_counter()
    await asyncio.gather(*(async_sequence(calls, targets, n, tokens, size) for n in range(width)))
    seconds, used = time.perf_counter() - began, time.process_time() - cpu
    await calls.async_unload()
    per_token_ms = seconds / tokens * 1000
    return f"{per_token_ms:.2f} ms, {used / tokens / width * 1e6:.0f} us"


async def async_run_cases(count: int, chained: bool, cases: list[tuple[int, int]]) -> list[str]:
    """Measure one kind of pipeline in all cases."""
    processes = start_stages(count, chained)
    try:
        await async_wait_listening(count)
        target_count = 1 if chained else count
        targets = [
            DispatchTarget(stage_record(f"s{number}", ADDRESS, FIRST_PORT + number, LAYERS))
            for number in range(target_count)
        ]
        return [await async_measure(targets, width, 2000 // width, size) for width, size in cases]
    finally:
        for process in processes:
            process.kill()
            process.wait()


async def async_main(runs: int) -> None:
    """Run the benchmark and write the table."""
    cases = [(1, 100), (16, 100), (1, 16_384), (16, 16_384)]
    lines = [
        "| stages | way | " + " | ".join(f"{w} at once, {s} bytes" for w, s in cases) + " |",
        "|---" * (len(cases) + 2) + "|",
    ]
    for count in (3, 6):
        for chained in (False, True):
            for _ in range(runs):
                cells = await async_run_cases(count, chained, cases)
                name = "chained" if chained else "entry-driven"
                lines.append(f"| {count} | {name} | " + " | ".join(cells) + " |")
    table = "\n".join(lines) + "\n"
    print(table)
    load = os.getloadavg()[0]
    note = "Per token: time until it has passed every stage; processor time of the driver."
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(f"{table}\n{note} Load average at the end: {load:.1f}.\n")


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--runs", type=int, default=2)
    uvloop.run(async_main(parser.parse_args().runs))
