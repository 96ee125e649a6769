"""Return times that many gateways promise from one capacity without telling each other."""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest

from lagoonwing_admission import CostClass, WaitingRoom, WaitingRoomSettings, WorkId
from lagoonwing_admission.const import RETURN_SHARE
from lagoonwing_core.ids import MemberId

COST = 800.0
# Capacity of the service in cost per second: 50 requests.
RATE = 50 * COST
LONGEST_S = 6.0
REFUSED = 104


@dataclass(frozen=True, slots=True)
class RefusedWork:
    """A request whose caller was just refused."""

    work_id: WorkId
    member_id: MemberId = MemberId("m")
    rank: int = 1
    cost_class: CostClass = CostClass.NORMAL
    cost: float = COST
    start_charge: float = COST
    enqueued: float = 0.0
    due: float = 0.5
    latest_start: float = 1.5


@pytest.mark.parametrize("gateways", [1, 4, 26])
def test_refused_callers_return_at_the_rate_of_the_returning_share(gateways: int) -> None:
    """Load: 104 callers refused in one moment.

    Promises from the whole capacity at each gateway would let all of them return at once.
    """
    promises: list[float] = []
    for number in range(gateways):
        room: WaitingRoom[RefusedWork] = WaitingRoom(WaitingRoomSettings(), random.Random(number))
        room.submit(RefusedWork(WorkId("first")), 0.0, 0.0, RATE)
        for refused in range(REFUSED // gateways):
            work = RefusedWork(WorkId(str(refused)))
            promises.append(room.retry_after_s(work, LONGEST_S, 0.0, gateways))
    by_second = [sum(start <= promise < start + 1 for promise in promises) for start in range(6)]
    assert sum(by_second) == REFUSED
    assert max(by_second) <= 1.5 * RETURN_SHARE * RATE / COST
