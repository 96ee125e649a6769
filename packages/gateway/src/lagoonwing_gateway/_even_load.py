"""Choice among endpoints whose load is known from a while ago, by many gateways at once.

Gateways that all choose the least loaded endpoint of one report overrun it until the next one.
Here, each takes the work that all others have probably started since the report to have filled the
least loaded endpoints to a common level. Its own request is at a random position in this filling,
so that together the gateways fill the endpoints evenly.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from lagoonwing_gateway.const import MIN_FILLED_LOAD, OWN_SAMPLE_SHARE, OWN_TURN_WEIGHT


@dataclass(slots=True)
class KnownLoads:
    """Loads of endpoints, as far as they are known, as work by capacity.

    Kept in parallel lists, since a choice among 300 endpoints must take about a millisecond.

    Attributes:
        shared: Load that all gateways know.
        own: Own load that the others don't know yet, so that their choices don't depend on it.
        capacities: Work that raises the load by one.
    """

    shared: list[float] = field(default_factory=list)
    own: list[float] = field(default_factory=list)
    capacities: list[float] = field(default_factory=list)

    def add(self, shared: float, own: float, capacity: float = 1.0) -> None:
        """Add an endpoint."""
        self.shared.append(shared)
        self.own.append(own)
        self.capacities.append(capacity)


def fill_level(loads: KnownLoads, work: float) -> float:
    """Return the level to which work lifts the least loaded endpoints."""
    level = math.inf
    capacity = volume = 0.0
    for shared, endpoint_capacity in sorted(zip(loads.shared, loads.capacities, strict=True)):
        if shared >= level:
            break
        capacity += endpoint_capacity
        volume += shared * endpoint_capacity
        level = (work + volume) / capacity
    return level


def draw_loads(
    loads: KnownLoads, work: float, request_work: float, rng: random.Random
) -> list[float]:
    """Return the load of each endpoint including work that others have probably started.

    The least result falls on an endpoint with the probability of its share of the filled work,
    wherever in the filling that is, so it may be lower than the known load. An endpoint that got
    own requests since the reports comes after those that got fewer of their share, since even
    choices of each gateway add up to a more even load.

    Args:
        loads: Known load of each endpoint.
        work: Work that the others have probably started.
        request_work: Mean work of a request.
        rng: Source of randomness, different at each gateway.
    """
    known = list(zip(loads.shared, loads.own, loads.capacities, strict=True))
    level = fill_level(loads, work)
    filled = level - min(loads.shared, default=level)
    if filled < MIN_FILLED_LOAD or level == math.inf:
        return [shared + own for shared, own, _ in known]
    # Exponential draws make the probabilities of the least turn those of the shares, exactly.
    draw = rng.expovariate
    turns = [
        (
            (OWN_TURN_WEIGHT * own * capacity / request_work + draw(1.0))
            / ((level - shared) * capacity)
            if shared < level
            else math.inf
        )
        for shared, own, capacity in known
    ]
    first_turn, rest = min(turns), filled * (1.0 - rng.random())
    # Turns of endpoints that are alike are about 1 / work apart.
    exp = math.exp
    return [
        (own + (level - rest * exp((first_turn - turn) * work)) if shared < level else own + shared)
        for (shared, own, _), turn in zip(known, turns, strict=True)
    ]


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
