"""Command line of the soak: `script/soak --seeds 1-50 --seconds 20`."""

from __future__ import annotations

import argparse
import logging
import signal
import sys
import time
from types import FrameType

from soak.run import run_seed


def main() -> int:
    """Run the seeds one after the other; return whether all kept every promise."""
    parser = argparse.ArgumentParser(description="Randomized soak with real processes.")
    parser.add_argument("--seeds", default="", help="FIRST-LAST or one seed; else a fresh one")
    parser.add_argument("--seconds", type=float, default=15.0, help="length of the faults")
    arguments = parser.parse_args()
    # The client's library logs each connection that a fault has cut.
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    # Ends the processes of the deployment too, by way of the run's own clean-up.
    signal.signal(signal.SIGTERM, _interrupt)
    first, _, last = (arguments.seeds or str(time.time_ns() % 1_000_000)).partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        outcome = run_seed(seed, arguments.seconds)
        print(
            f"seed {seed}: {outcome.served} of {outcome.asked} served, "
            f"{len(outcome.faults)} faults, {len(outcome.violations)} violations",
            flush=True,
        )
        for text in outcome.violations[:10]:
            print(f"  {text}", flush=True)
        if outcome.violations:
            failed += 1
            for fault in outcome.faults:
                print(f"    {fault}")
    print(f"{failed} seeds failed")
    return 1 if failed else 0


def _interrupt(number: int, frame: FrameType | None) -> None:
    """End the run in order."""
    raise KeyboardInterrupt


sys.exit(main())
