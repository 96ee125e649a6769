"""Ejects endpoints after consecutive failures, with exponential backoff."""

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
        probe_after: Time after which single attempts may probe an ejected endpoint.
    """

    incarnation: Incarnation
    failures: int = 0
    ejections: int = 0
    probe_after: float | None = None


class EjectionSystem:
    """Prevents failing endpoints from consuming retries; a new incarnation starts healthy."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._health_by_id: dict[EndpointId, _Health] = {}

    def failed(self, stage: RouteStage, crashed: bool, now: float) -> bool:
        """Record a failure; return whether it ejects the endpoint."""
        health = self._health(stage)
        if health is None:
            return False
        health.failures += 1
        is_probe = health.probe_after is not None
        if not (crashed or is_probe or health.failures >= const.EJECT_AFTER_FAILURES):
            return False
        if health.probe_after is not None and now < health.probe_after:
            # Failures of attempts that were in flight at the ejection add no information.
            return False
        duration_s = min(const.EJECTION_MIN_S * 2.0**health.ejections, const.EJECTION_MAX_S)
        health.ejections += 1
        health.probe_after = now + duration_s * self._rng.uniform(0.75, 1.25)
        return True

    def succeeded(self, stage: RouteStage) -> None:
        """Clear the failures of an endpoint after a success."""
        health = self._health_by_id.get(stage.endpoint_id)
        if health is not None and health.incarnation == stage.incarnation:
            del self._health_by_id[stage.endpoint_id]

    def may_use(self, stage: RouteStage, running: int, now: float) -> bool:
        """Return whether an endpoint may receive work: not ejected, or due for a probe."""
        health = self._health_by_id.get(stage.endpoint_id)
        if health is None or health.probe_after is None:
            return True
        if stage.incarnation > health.incarnation:
            return True
        return now >= health.probe_after and running == 0

    def keep_only(self, stages: Iterable[RouteStage]) -> None:
        """Discard endpoints that are gone or run another incarnation."""
        incarnation_by_id = {stage.endpoint_id: stage.incarnation for stage in stages}
        for endpoint_id, health in list(self._health_by_id.items()):
            if incarnation_by_id.get(endpoint_id) != health.incarnation:
                del self._health_by_id[endpoint_id]

    def _health(self, stage: RouteStage) -> _Health | None:
        """Return the health of an endpoint, None if `stage` is of an older incarnation."""
        health = self._health_by_id.get(stage.endpoint_id)
        if health is None or stage.incarnation > health.incarnation:
            health = _Health(stage.incarnation)
            self._health_by_id[stage.endpoint_id] = health
        return health if health.incarnation == stage.incarnation else None
