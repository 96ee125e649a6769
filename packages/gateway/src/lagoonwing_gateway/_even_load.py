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
from dataclasses import dataclass

from lagoonwing_gateway.const import OWN_SAMPLE_SHARE


@dataclass(frozen=True, slots=True)
class KnownLoad:
    """Load of an endpoint, as far as it is known, as work by capacity.

    Attributes:
        shared: Load that all gateways know.
        own: Own load that the others don't know yet, so that their choices don't depend on it.
        capacity: Work that raises the load by one.
    """

    shared: float
    own: float
    capacity: float = 1.0


def fill_level(loads: Sequence[KnownLoad], work: float) -> float:
    """Return the level to which work lifts the least loaded endpoints."""
    level = math.inf
    capacity = volume = 0.0
    for shared, endpoint_capacity in sorted((load.shared, load.capacity) for load in loads):
        if shared >= level:
            break
        capacity += endpoint_capacity
        volume += shared * endpoint_capacity
        level = (work + volume) / capacity
    return level


def draw_loads(
    loads: Sequence[KnownLoad], work: float, request_work: float, rng: random.Random
) -> list[float]:
    """Return the load of each endpoint including work that others have probably started.

    The least result falls on an endpoint with about the probability of its share of the filled
    work. An endpoint that already got own requests since the reports comes after those that got
    fewer of their share, since even choices of each gateway add up to a more even load.

    Args:
        loads: Known load of each endpoint.
        work: Work that the others have probably started.
        request_work: Mean work of a request.
        rng: Source of randomness, different at each gateway.
    """
    lowest = min((load.shared for load in loads), default=0.0)
    level = fill_level(loads, work)
    rooms = [max(0.0, (level - load.shared) * load.capacity) for load in loads]
    endpoints = sum(room > 0.0 for room in rooms)
    if work <= 0.0 or endpoints == 0:
        return [load.shared + load.own for load in loads]
    mean_room = work / endpoints
    turns = [
        (
            (load.own * load.capacity / request_work + rng.random()) * mean_room / room
            if room > 0.0
            else math.inf
        )
        for load, room in zip(loads, rooms, strict=True)
    ]
    first_turn, rest = min(turns), 1.0 - rng.random()
    drawn: list[float] = []
    for load, turn in zip(loads, turns, strict=True):
        remaining = rest * math.exp((first_turn - turn) * endpoints)
        position = level - (level - lowest) * remaining
        drawn.append(load.own + (max(load.shared, position) if turn < math.inf else load.shared))
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
