"""Admission beside its alternatives, simulated: `python -m bench.admission_alternatives`."""

from __future__ import annotations

import random
from collections.abc import Callable

from bench.admission_loads import (
    SECONDS,
    immediate_retries,
    measured,
    members,
    sizes,
    surge,
    wave,
)
from bench.admission_simulation import Attempt, Kind, Room, Simulation, by_kind
from lagoonwing_admission import RankedQueue, WaitingRoom, WaitingRoomSettings
from lagoonwing_admission._ranked import RankLane
from lagoonwing_admission.models import (
    BoundedQueue,
    EarlyRefusal,
    FirstComeFirstServed,
    WeightedFair,
)

GATEWAYS = (4,)


class StrictQueue(RankedQueue[Attempt]):
    """Ranks without a guaranteed share."""

    def _earned_share(self, lane: RankLane[Attempt]) -> float:
        return 0.0


class StrictRoom(WaitingRoom[Attempt]):
    """A waiting room whose ranks have no guaranteed share."""

    def __init__(self, settings: WaitingRoomSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self._queue = StrictQueue(settings.queue)


class JitterRoom(WaitingRoom[Attempt]):
    """A waiting room that asks callers to return after a random time."""

    def __init__(self, settings: WaitingRoomSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self._rng = rng

    def retry_after_s(self, work: Attempt, max_s: float, now: float) -> float:
        """Return 0.3 to 0.9 s."""
        return min(max_s, 0.3 + 0.6 * self._rng.random())


class UnreservedRoom(WaitingRoom[Attempt]):
    """A waiting room that reserves no capacity for requests that others have overtaken."""

    def candidates(self, now: float, limit: int) -> list[Attempt]:
        """Return the candidates of the queue."""
        return self._queue.candidates(now, limit)


BUILT = WaitingRoomSettings()
FIRST_COME = WaitingRoomSettings(FirstComeFirstServed(), BoundedQueue())
ALTERNATIVES: dict[str, Callable[[random.Random], Room]] = {
    "as built": lambda rng: WaitingRoom(BUILT, rng),
    "first come, first served": lambda rng: WaitingRoom(FIRST_COME, rng),
    "strict ranks": lambda rng: StrictRoom(BUILT, rng),
    "Retry-After by jitter": lambda rng: JitterRoom(BUILT, rng),
    "no reserved capacity": lambda rng: UnreservedRoom(BUILT, rng),
    "no margin of the wait": lambda rng: WaitingRoom(
        WaitingRoomSettings(BUILT.queue, EarlyRefusal()), rng
    ),
    "entry host's class weights": lambda rng: WaitingRoom(
        WaitingRoomSettings(WeightedFair(), BUILT.admission), rng
    ),
    "longest wait 0.5 s": lambda rng: WaitingRoom(
        WaitingRoomSettings(BUILT.queue, EarlyRefusal(wait_margin=2.0, max_wait_s=0.5)), rng
    ),
}
LOADS: dict[str, Callable[[], list[Kind]]] = {
    "surge": surge,
    "member at its share": lambda: members(0.8),
    "member at ten shares": lambda: members(10.0),
    "wave": wave,
    "immediate retries": immediate_retries,
    "sizes": sizes,
}


def main() -> None:
    """Print a row for each load, alternative, number of gateways and kind of callers."""
    print(
        "| load | alternative | gateways | kind | served | on time | wait p95 s "
        "| refused twice | held in vain |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for load, kinds in LOADS.items():
        for name, make_room in ALTERNATIVES.items():
            for gateways in GATEWAYS:
                callers = Simulation(kinds(), SECONDS, make_room, gateways).run()
                for kind, found in by_kind(measured(callers)).items():
                    print(
                        f"| {load} | {name} | {gateways} | {kind} | {found.served:.3f} "
                        f"| {found.on_time:.3f} | {found.wait_p95:.2f} "
                        f"| {found.refused_twice:.3f} | {found.expired:.3f} |",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
