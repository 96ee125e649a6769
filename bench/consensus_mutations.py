"""Mutation test of the consensus core: prints which check detects each fault."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests" / "consensus"))

from consensus_mutations import MUTATIONS, detect  # noqa: E402


def main() -> int:
    """Run all mutations; return 1 if one is not detected."""
    print("| Fault | Caught by | Schedules run |")
    print("| --- | --- | ---: |")
    missed = 0
    for mutation in MUTATIONS:
        detection = detect(mutation)
        missed += detection.invariant is None
        print(
            f"| {mutation.name} | {detection.invariant or 'nothing'} | {detection.schedules} |",
            flush=True,
        )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
