"""State that is shared by the components of the scheduler."""

from __future__ import annotations

import random

from lagoonwing_admission import QueueBounds
from lagoonwing_policy._cap_blocks import CapBlocks
from lagoonwing_policy._pools import PoolTable
from lagoonwing_policy._requests import RequestTable
from lagoonwing_policy._settings import SchedulerSettings
from lagoonwing_policy._slots import SlotTable
from lagoonwing_policy.allotments import Allotments, AllotmentTable, DemandTracker
from lagoonwing_policy.const import MAX_REFUSALS_PER_TICK
from lagoonwing_policy.cost import CostEstimator
from lagoonwing_policy.fairness import LongWorkBounds, MemberWeights


class SchedulerTables:
    """State of the scheduler of one entry host."""

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.requests = RequestTable()
        self.pools = PoolTable(settings)
        self.slots = SlotTable(LongWorkBounds(settings.long_work, self.rng))
        self.limits = AllotmentTable(settings.limits)
        self.cap_blocks = CapBlocks(self.pools)
        self.demand = DemandTracker(_demand_policy(settings), self.limits)
        self.bounds = QueueBounds(settings.admission)
        self.weights = MemberWeights()
        self.costs = CostEstimator(settings.cost)
        self.refusals_left = MAX_REFUSALS_PER_TICK


def _demand_policy(settings: SchedulerSettings) -> Allotments:
    """Return the policy of demand tracking; its values are irrelevant without limits."""
    limits = settings.limits
    return limits if isinstance(limits, Allotments) else Allotments()
