"""Choice among endpoints whose load is known from a while ago, by many gateways at once.

Gateways that all choose the least loaded endpoint of one report overrun it until the next one.
Here, each takes the work that all others have probably started since the report to have filled the
least loaded endpoints to a common level. Its own request is at a random position in this filling,
so that together the gateways fill the endpoints evenly.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from lagoonwing_gateway.const import OWN_SAMPLE_SHARE


def fill_level(loads: Sequence[float], capacities: Sequence[float], work: float) -> float:
    """Return the level to which work lifts the least loaded endpoints.

    Args:
        loads: Known load of each endpoint, as work by capacity.
        capacities: Capacity of each endpoint.
        work: Work that is spread over the endpoints.
    """
    level = math.inf
    capacity = volume = 0.0
    for load, endpoint_capacity in sorted(zip(loads, capacities, strict=True)):
        if load >= level:
            break
        capacity += endpoint_capacity
        volume += load * endpoint_capacity
        level = (work + volume) / capacity
    return level


def draw_loads(
    loads: Sequence[float], capacities: Sequence[float], work: float, rng: random.Random
) -> list[float]:
    """Return the load of each endpoint including work that others have probably started.

    The least result falls on an endpoint with the probability of its share of the filled work.
    No result is lower than the known load, and the result of an endpoint at or above the common
    level is its known load.
    """
    if work <= 0.0 or not loads:
        return list(loads)
    level, lowest = fill_level(loads, capacities, work), min(loads)
    span = level - lowest
    drawn: list[float] = []
    for load, capacity in zip(loads, capacities, strict=True):
        room = (level - load) * capacity
        if room > 0.0:
            position = rng.expovariate(1.0) * work / room
            load = max(load, lowest - span * math.expm1(-position))
        drawn.append(load)
    return drawn


def unreported_work(
    reported_per_s: float, age_s: float, own_started: float, gateways: int
) -> float:
    """Return the expected work that other gateways have started since their reports.

    Own starts are a sample of those of the others: after a crash all gateways start much in a
    moment of which no report tells yet. What the reported rate explains doesn't count twice.

    Args:
        reported_per_s: Work that all other gateways start per second, as reported.
        age_s: Age of the reports.
        own_started: Work that this gateway has started in this time.
        gateways: Number of gateways, including this one.
    """
    others = max(0, gateways - 1)
    if others == 0:
        return 0.0
    reported = reported_per_s * age_s
    excess = max(0.0, own_started * others - reported)
    return reported + OWN_SAMPLE_SHARE * excess
