"""Runs proofs: `python -m proof --part control --seeds 1,2`."""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import tempfile
import traceback
from pathlib import Path

from proof.parts import PROOFS_BY_PART
from proof.report import Proof, ProofResult, Run, render_results

_FIRST_SUBNET = 100


async def async_run_proof(proof: Proof, seed: int, network: str) -> Run:
    """Run one proof in a temporary folder; an exception counts as a violation."""
    folder = Path(tempfile.mkdtemp(prefix=f"lagoonwing-{proof.name}-"))
    run = Run(seed, folder, network)
    try:
        await proof.async_run(run)
    except Exception as error:
        # A proof that could not finish has not shown its guarantee.
        run.violations.append(f"{type(error).__name__}: {error}")
        traceback.print_exc()
    if run.violations:
        print(f"logs and data kept in {folder}", flush=True)
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return run


async def async_main(arguments: argparse.Namespace) -> int:
    """Run the proofs of the selected parts in sequence."""
    parts = list(PROOFS_BY_PART) if arguments.part == "all" else [arguments.part]
    proofs = [proof for part in parts for proof in PROOFS_BY_PART[part]]
    if arguments.only:
        proofs = [proof for proof in proofs if arguments.only in proof.name]
    seeds = [int(seed) for seed in arguments.seeds.split(",")]
    results: list[ProofResult] = []
    for position, proof in enumerate(proofs):
        network = f"{arguments.network}.{_FIRST_SUBNET + position}"
        runs = [await async_run_proof(proof, seed, network) for seed in seeds]
        result = ProofResult(proof, runs)
        results.append(result)
        verdict = "ok" if not result.violations else "VIOLATED"
        print(f"{verdict}: {proof.guarantee} ({proof.name})", flush=True)
        for violation in result.violations:
            print(f"    {violation}", flush=True)
    print()
    print(render_results(results))
    return 1 if any(result.violations for result in results) else 0


def main() -> None:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(prog="script/proof")
    parser.add_argument("--part", choices=[*PROOFS_BY_PART, "all"], default="all")
    parser.add_argument("--seeds", default="1", help="seeds, separated by commas")
    parser.add_argument("--only", default="", help="run proofs whose name contains this")
    parser.add_argument("--network", default="78", help="second octet of the loopback addresses")
    sys.exit(asyncio.run(async_main(parser.parse_args())))


if __name__ == "__main__":
    main()
