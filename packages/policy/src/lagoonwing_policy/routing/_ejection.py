"""Ejects endpoints that fail in a row, for a time that grows."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from lagoonwing_core.ids import EndpointId, Incarnation
from lagoonwing_policy.models import RouteStage
from lagoonwing_policy.routing import const


@dataclass(slots=True)
class _Health:
    """Recent failures of one incarnation of an endpoint.

    Attributes:
        probe_after: Time from which one attempt at a time may try the endpoint again.
    """

    incarnation: Incarnation
    failures: int = 0
    ejections: int = 0
    probe_after: float | None = None


class EjectionSystem:
    """Keeps endpoints that fail from eating retries; a new incarnation starts clean."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._health_by_id: dict[EndpointId, _Health] = {}

    def failed(self, stage: RouteStage, died: bool, now: float) -> bool:
        """Count a failure; return whether the endpoint is ejected by it."""
        health = self._health(stage)
        if health is None:
            return False
        health.failures += 1
        is_probe = health.probe_after is not None
        if not (died or is_probe or health.failures >= const.EJECT_AFTER_FAILURES):
            return False
        if health.probe_after is not None and now < health.probe_after:
            # Attempts that were in flight at the first ejection tell nothing new.
            return False
        longest = min(const.EJECTION_MIN_S * 2.0**health.ejections, const.EJECTION_MAX_S)
        health.ejections += 1
        health.probe_after = now + longest * self._rng.uniform(0.75, 1.25)
        return True

    def succeeded(self, stage: RouteStage) -> None:
        """Forget the failures of an endpoint that works."""
        health = self._health_by_id.get(stage.endpoint_id)
        if health is not None and health.incarnation == stage.incarnation:
            del self._health_by_id[stage.endpoint_id]

    def may_use(self, stage: RouteStage, running: int, now: float) -> bool:
        """Return whether an endpoint may get work: not ejected, or the one probe after."""
        health = self._health_by_id.get(stage.endpoint_id)
        if health is None or health.probe_after is None:
            return True
        if stage.incarnation > health.incarnation:
            return True
        return now >= health.probe_after and running == 0

    def keep_only(self, stages: Iterable[RouteStage]) -> None:
        """Drop endpoints that are gone or run a new incarnation."""
        incarnation_by_id = {stage.endpoint_id: stage.incarnation for stage in stages}
        for endpoint_id, health in list(self._health_by_id.items()):
            if incarnation_by_id.get(endpoint_id) != health.incarnation:
                del self._health_by_id[endpoint_id]

    def _health(self, stage: RouteStage) -> _Health | None:
        """Return the entry of an endpoint; none if the failure is of an older incarnation."""
        health = self._health_by_id.get(stage.endpoint_id)
        if health is None or stage.incarnation > health.incarnation:
            health = _Health(stage.incarnation)
            self._health_by_id[stage.endpoint_id] = health
        return health if health.incarnation == stage.incarnation else None
