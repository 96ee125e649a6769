"""Work items of the admission tests."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field

from lagoonwing_admission import CostClass, WaitingRoom, WaitingRoomSettings, WorkId
from lagoonwing_core.ids import MemberId

_numbers = itertools.count()


@dataclass(frozen=True)
class Work:
    """A request that waits, with the defaults of a small one."""

    member_id: MemberId = MemberId("acme")
    rank: int = 0
    cost: float = 10.0
    enqueued: float = 0.0
    due: float = 0.0
    latest_start: float = 1e9
    cost_class: CostClass = CostClass.NORMAL
    work_id: WorkId = field(default_factory=lambda: WorkId(f"w{next(_numbers)}"))

    @property
    def start_charge(self) -> float:
        """Return the whole cost: the gateway charges at the start."""
        return self.cost


def make_room(settings: WaitingRoomSettings | None = None, seed: int = 0) -> WaitingRoom[Work]:
    """Return an empty waiting room."""
    return WaitingRoom(settings or WaitingRoomSettings(), random.Random(seed))
