"""Distinguishes failures of a failure domain from crashes caused by a request."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from lagoonwing_core.ids import FailureDomainId, Fingerprint
from lagoonwing_policy.models import RouteStage
from lagoonwing_policy.quarantine import const


@dataclass(frozen=True, slots=True)
class _Crash:
    """Crash of one endpoint."""

    stage: RouteStage
    running: frozenset[Fingerprint]
    time: float


class CrashCorrelator:
    """Finds crashes in one failure domain within a short time that share no request."""

    def __init__(self) -> None:
        self._crashes_by_domain: dict[FailureDomainId, deque[_Crash]] = {}

    def is_domain_wide(
        self,
        domain: FailureDomainId,
        stage: RouteStage,
        running: frozenset[Fingerprint],
        now: float,
    ) -> bool:
        """Record a crash; return whether the failure domain is the likely cause.

        If a request was running on two of the crashed endpoints, it is the more likely cause.
        """
        crashes = self._crashes_by_domain.setdefault(domain, deque())
        while crashes and now - crashes[0].time > const.CORRELATION_WINDOW_S:
            crashes.popleft()
        if all(crash.stage != stage for crash in crashes):
            crashes.append(_Crash(stage, running, now))
        if len(crashes) < const.MIN_CORRELATED_CRASHES:
            return False
        earlier = (crash for crash in crashes if crash.stage != stage)
        return all(running.isdisjoint(crash.running) for crash in earlier)
