"""Command line of the soak test: `script/soak --seeds 1-50 --seconds 20`."""

from __future__ import annotations

import argparse
import logging
import signal
import sys
import time
from collections.abc import Iterator
from types import FrameType

from soak.faulty_answers import DEFAULT_ANSWER_FAULTS, AnswerFault
from soak.models import Scenario
from soak.run import run_seed
from soak.upgrades import DEFAULT_OLD_REVISION


def main() -> int:
    """Run the seeds in sequence.

    Returns:
        0 if no run violated a guarantee, else 1.
    """
    parser = argparse.ArgumentParser(description="Randomized soak test with real processes.")
    parser.add_argument(
        "--seeds",
        "--seed",
        default="",
        help="FIRST-LAST or a single seed; default: seeds from the clock",
    )
    parser.add_argument("--minutes", type=float, help="run seeds from the clock for this long")
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="duration of fault injection per seed"
    )
    parser.add_argument(
        "--scenario",
        default=Scenario.NONE.value,
        choices=[scenario.value for scenario in Scenario],
        help="what happens after recovery; faulty_answers: without other faults",
    )
    parser.add_argument(
        "--answer-faults",
        default=",".join(fault.value for fault in DEFAULT_ANSWER_FAULTS),
        help="comma-separated faults of faulty_answers; default: all but cut_filled",
    )
    parser.add_argument(
        "--from",
        dest="old_revision",
        default=DEFAULT_OLD_REVISION,
        help="commit whose build runs first in upgrades; default: the last landing",
    )
    parser.add_argument(
        "--mixed",
        action="store_true",
        help="some processes, drawn by the seed, run the build of --from all the time",
    )
    arguments = parser.parse_args()
    answer_faults = [AnswerFault(value) for value in arguments.answer_faults.split(",") if value]
    # The HTTP client library logs every connection that an injected fault closes.
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    # SIGTERM must also run the clean-up that stops the deployment's processes.
    signal.signal(signal.SIGTERM, _interrupt)
    failed = 0
    for seed in _seeds(arguments.seeds, arguments.minutes):
        outcome = run_seed(
            seed,
            arguments.seconds,
            Scenario(arguments.scenario),
            answer_faults,
            arguments.old_revision,
            is_mixed=arguments.mixed,
        )
        print(
            f"seed {seed}: {outcome.served} of {outcome.sent} served, "
            f"{len(outcome.faults)} faults, {len(outcome.violations)} violations",
            flush=True,
        )
        for kind, count in sorted(outcome.count_by_kind.items()):
            print(f"  {count} x {kind}", flush=True)
        for text in outcome.violations[:10]:
            print(f"  {text}", flush=True)
        if outcome.violations:
            failed += 1
            for fault in outcome.faults:
                print(f"    {fault}")
    print(f"{failed} seeds failed")
    return 1 if failed else 0


def _seeds(seeds: str, minutes: float | None) -> Iterator[int]:
    """Yield the given seeds, or seeds from the clock until the time limit."""
    if seeds:
        first, _, last = seeds.partition("-")
        yield from range(int(first), int(last or first) + 1)
        return
    end = time.monotonic() + 60.0 * (minutes or 0.0)
    yield time.time_ns() % 1_000_000
    while time.monotonic() < end:
        yield time.time_ns() % 1_000_000


def _interrupt(number: int, frame: FrameType | None) -> None:
    """Interrupt the run so that its clean-up is executed."""
    raise KeyboardInterrupt


sys.exit(main())
