"""A short seeded run of the soak with real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from soak.run import SoakRun

SECONDS = 6.0
# 31: the soak itself did not start a gateway again that drained when the faults ended.
SEEDS = (1, 31)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_faults(seed: int, tmp_path: Path) -> None:
    """Killed, paused, stopped and wiped processes and bad links break no promise."""
    outcome = asyncio.run(SoakRun(seed, SECONDS, tmp_path).async_run())
    assert outcome.violations == [], outcome.faults
