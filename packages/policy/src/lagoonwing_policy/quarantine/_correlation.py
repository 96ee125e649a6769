"""Tells the death of a failure domain from deaths that a request caused."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from lagoonwing_core.ids import FailureDomainId, Fingerprint
from lagoonwing_policy.models import RouteStage
from lagoonwing_policy.quarantine import const


@dataclass(frozen=True, slots=True)
class _Death:
    """One endpoint's death."""

    stage: RouteStage
    running: frozenset[Fingerprint]
    time: float


class DeathCorrelator:
    """Finds deaths that came together in one failure domain with no request in common."""

    def __init__(self) -> None:
        self._deaths_by_domain: dict[FailureDomainId, deque[_Death]] = {}

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
        deaths = self._deaths_by_domain.setdefault(domain, deque())
        while deaths and now - deaths[0].time > const.CORRELATION_S:
            deaths.popleft()
        if all(death.stage != stage for death in deaths):
            deaths.append(_Death(stage, running, now))
        if len(deaths) < const.CORRELATED_DEATHS:
            return False
        others = (death.running for death in deaths if death.stage != stage)
        return all(running.isdisjoint(other) for other in others)
