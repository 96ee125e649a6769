"""State and result of a soak run."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from lagoonwing_fakes.platform import Processes
from soak.endpoints import RequestRecord, SoakEndpoint
from soak.gateway_cuts import GatewayCuts
from soak.notices import NoticeRecord
from soak.proxy import Proxy


class Scenario(Enum):
    """What happens after recovery from the random faults.

    CUT_GATEWAYS, NOTICES and UPGRADES happen beside them.
    """

    NONE = "none"
    PAUSES = "pauses"
    CRASHING_PART = "crashing_part"
    LIMITS = "limits"
    SECOND_ANSWERS = "second_answers"
    FAULTY_ANSWERS = "faulty_answers"
    CUT_GATEWAYS = "cut_gateways"
    NOTICES = "notices"
    UPGRADES = "upgrades"


@dataclass
class Outcome:
    """Result of one run.

    Attributes:
        violations: Descriptions of violated guarantees.
        faults: Injected faults in order, with their times, for debugging.
        count_by_kind: Number of violations of each kind, where a scenario tells kinds apart.
    """

    seed: int
    served: int = 0
    sent: int = 0
    served_after_recovery: int = 0
    violations: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    count_by_kind: Counter[str] = field(default_factory=Counter)

    def record_fault(self, text: str) -> None:
        """Record an injected fault with the time."""
        self.faults.append(f"{asyncio.get_running_loop().time():.2f} {text}")


@dataclass
class SoakContext:
    """One deployment under test, shared by the tasks of a run.

    Attributes:
        proxies: One proxy in front of each replica.
        drained_at_by_id: Time at which the drain of an endpoint was accepted.
        accepted_version: Highest accepted version of the document.
        has_recovered: Whether all faults are cleared and the recovery time has passed.
        cuts: Cuts of gateways from all endpoints, if any come.
        notices: What endpoints said of themselves, and what reached them.
        sends_crashing_part: Whether callers also send requests that crash engines.
    """

    rng: random.Random
    outcome: Outcome
    processes: Processes
    requests: RequestRecord = field(default_factory=RequestRecord)
    proxies: list[Proxy] = field(default_factory=list)
    endpoints: list[SoakEndpoint] = field(default_factory=list)
    drained_at_by_id: dict[str, float] = field(default_factory=dict)
    accepted_version: int = 0
    has_recovered: bool = False
    sends_crashing_part: bool = False
    cuts: GatewayCuts | None = None
    notices: NoticeRecord = field(default_factory=NoticeRecord)
