"""Tells the death of a failure domain from deaths that a request caused."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from lagoonwing_core.ids import FailureDomainId, Fingerprint
from lagoonwing_policy.models import RouteStage
from lagoonwing_policy.quarantine import const


@dataclass(frozen=True, slots=True)
class _Crash:
    """One endpoint's death."""

    stage: RouteStage
    running: frozenset[Fingerprint]
    time: float


class CrashCorrelator:
    """Finds deaths that came together in one failure domain with no request in common."""

    def __init__(self) -> None:
        self._crashes_by_domain: dict[FailureDomainId, deque[_Crash]] = {}

    def is_domain_wide(
        self,
        domain: FailureDomainId,
        stage: RouteStage,
        running: frozenset[Fingerprint],
        now: float,
    ) -> bool:
        """Note a death; return whether the domain is the likely cause.

        A request that ran on two of the endpoints that died is the likelier cause.
        """
        crashes = self._crashes_by_domain.setdefault(domain, deque())
        while crashes and now - crashes[0].time > const.CORRELATION_WINDOW_S:
            crashes.popleft()
        if all(crash.stage != stage for crash in crashes):
            crashes.append(_Crash(stage, running, now))
        if len(crashes) < const.MIN_CORRELATED_CRASHES:
            return False
        others = (crash.running for crash in crashes if crash.stage != stage)
        return all(running.isdisjoint(other) for other in others)
