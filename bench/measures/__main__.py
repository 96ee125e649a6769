"""Runs the system benchmarks: `python -m bench.measures --quick`."""

from __future__ import annotations

import argparse
import asyncio
import subprocess
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from bench.measures import crest, recovery, short_work, throughput
from bench.measures._results import plot_rows, render_table
from bench.measures._site import BASELINE, PRODUCT
from bench.measures.const import FULL_DURATION_S, QUICK_DURATION_S
from bench.measures.models import FigureKey, FigureRow
from lagoonwing_fakes.deployment import HostPolicies

RESULTS = Path("bench/results")

Measure = Callable[[HostPolicies, int, float, str], Awaitable[dict[FigureKey, float]]]

MEASURES: dict[str, Measure] = {
    "throughput": throughput.async_measure,
    "crest": crest.async_measure,
    "short_work": short_work.async_measure,
    "recovery": recovery.async_measure,
}


async def async_main(arguments: argparse.Namespace) -> None:
    """Run the selected benchmarks and write the results."""
    duration_s = QUICK_DURATION_S if arguments.quick else FULL_DURATION_S
    seeds = [int(seed) for seed in arguments.seeds.split(",")]
    names = arguments.only.split(",") if arguments.only else list(MEASURES)
    row_by_key: dict[FigureKey, FigureRow] = {}
    started = time.monotonic()
    for name in names:
        for seed in seeds:
            for policies in (PRODUCT, BASELINE):
                network = f"{arguments.network}.{1 if policies == PRODUCT else 2}"
                figures = await MEASURES[name](policies, seed, duration_s, network)
                _add(row_by_key, figures, policies)
                print(name, seed, "product" if policies == PRODUCT else "baseline", flush=True)
                for key, value in figures.items():
                    print(f"    {key.figure}: {value:.3f}", flush=True)
    rows = list(row_by_key.values())
    _write(rows, arguments, time.monotonic() - started, duration_s)


def _add(
    row_by_key: dict[FigureKey, FigureRow], figures: dict[FigureKey, float], policies: HostPolicies
) -> None:
    """Add the figures of one run to their rows."""
    for key, value in figures.items():
        row = row_by_key.setdefault(key, FigureRow(key))
        values = row.product if policies == PRODUCT else row.baseline
        values.append(value)


def _write(
    rows: list[FigureRow], arguments: argparse.Namespace, elapsed_s: float, duration_s: float
) -> None:
    """Write the table and the plots."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=True
    ).stdout.strip()
    table = render_table(rows)
    head = (
        f"# Measures\n\nCommit {commit}; seeds {arguments.seeds}; loads of {duration_s:g} s; "
        f"{elapsed_s:.0f} s in total. Product and baseline (round robin, first come first served, "
        "no limits) ran one after the other in the same run.\n\n"
    )
    RESULTS.mkdir(parents=True, exist_ok=True)
    (RESULTS / "measures.md").write_text(head + table, encoding="utf-8")
    plot_rows(rows, RESULTS)
    print(table)


def main() -> None:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(prog="script/bench")
    parser.add_argument("--quick", action="store_true", help="shorter load phases")
    parser.add_argument("--seeds", default="1", help="seeds, separated by commas")
    parser.add_argument("--only", default="", help="benchmarks, separated by commas")
    parser.add_argument("--network", default="79", help="second octet of the loopback addresses")
    asyncio.run(async_main(parser.parse_args()))


if __name__ == "__main__":
    main()
