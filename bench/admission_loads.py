"""Loads of the admission tests and of `bench.admission_alternatives`."""

from __future__ import annotations

import math

from bench.admission_simulation import Caller, Kind, Retry

# Callers of the first seconds meet empty queues, those of the last ones return into idle time.
MEASURED_FROM_S = 3.0
MEASURED_TO_S = 9.0
SECONDS = 18.0
MEMBERS = 10
WAVE_PERIOD_S = 6.0


def surge() -> list[Kind]:
    """Return three ranks that offer twice the capacity, the first 0.6 of it."""
    return [
        Kind(f"rank {rank}", load, rank, median_cost=5.0, spread=1.0)
        for rank, load in enumerate((0.6, 0.7, 0.7))
    ]


def members(surging: float) -> list[Kind]:
    """Return members of equal shares, of which one offers `surging` shares, the others 0.8."""
    calm = [
        Kind("calm", 0.8 / MEMBERS, member=f"m{number}", median_cost=5.0, spread=0.7)
        for number in range(1, MEMBERS)
    ]
    return [*calm, Kind("surging", surging / MEMBERS, member="m0", median_cost=5.0, spread=0.7)]


def wave() -> list[Kind]:
    """Return a load between 0.15 and 1.65 of the capacity, 0.9 in the mean."""
    return [Kind("wave", 0.9, median_cost=5.0, spread=0.7, factor=_wave_factor)]


def immediate_retries() -> list[Kind]:
    """Return callers that honour Retry-After beside as many that ignore it, at 1.6 in all."""
    return [
        Kind("honouring", 0.8, median_cost=5.0, spread=0.7),
        Kind("ignoring", 0.8, median_cost=5.0, spread=0.7, retry=Retry.IMMEDIATE),
    ]


def sizes() -> list[Kind]:
    """Return requests of 1 and of 50 thousandths of the capacity, at 1.4 of it in all."""
    return [
        Kind("small", 0.7, median_cost=1.0),
        Kind("large", 0.7, median_cost=50.0),
    ]


def measured(callers: list[Caller]) -> list[Caller]:
    """Return the callers that arrived while the load lasted."""
    return [caller for caller in callers if MEASURED_FROM_S <= caller.first < MEASURED_TO_S]


def _wave_factor(now: float) -> float:
    """Return the factor of a wave's load."""
    return 1.0 + 0.83 * math.sin(2.0 * math.pi * now / WAVE_PERIOD_S)
