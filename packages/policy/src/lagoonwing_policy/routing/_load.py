"""How busy endpoints are: own attempts are facts, load reports are hints."""

from __future__ import annotations

import math
from collections.abc import Mapping

from lagoonwing_core.ids import EndpointId
from lagoonwing_policy._router_protocol import EndpointUse
from lagoonwing_policy.models import EndpointLoad
from lagoonwing_policy.routing import const
from lagoonwing_policy.routing._pools import Candidate

LoadsByEndpoint = Mapping[EndpointId, EndpointUse]


class LoadEstimator:
    """Estimates what all entry hosts have in flight on an endpoint."""

    def __init__(self, entry_hosts: int) -> None:
        self._entry_hosts = max(1, entry_hosts)
        self._load_by_id: dict[EndpointId, EndpointLoad] = {}

    def set_entry_hosts(self, count: int) -> None:
        """Set the number of entry hosts that share the endpoints."""
        self._entry_hosts = max(1, count)

    def report(self, load: EndpointLoad) -> None:
        """Keep the latest report of an endpoint."""
        known = self._load_by_id.get(load.endpoint_id)
        if known is None or load.reported >= known.reported:
            self._load_by_id[load.endpoint_id] = load

    def keep_only(self, endpoint_ids: set[EndpointId]) -> None:
        """Drop reports of endpoints that are gone."""
        for endpoint_id in list(self._load_by_id):
            if endpoint_id not in endpoint_ids:
                del self._load_by_id[endpoint_id]

    def total(self, candidate: Candidate, loads: LoadsByEndpoint, now: float) -> float:
        """Estimate the attempts in flight of all entry hosts.

        Without a fresh report the others are taken to be as busy as this host, for the
        platform's balancer spreads callers evenly. A report counts less as it ages.
        """
        use = loads.get(candidate.endpoint_id)
        own = use.running if use is not None else 0
        if self._entry_hosts == 1:
            return own
        alike = own * (self._entry_hosts - 1)
        load = self._load_by_id.get(candidate.endpoint_id)
        if load is None:
            return own + alike
        weight = max(0.0, 1.0 - (now - load.reported) / const.HINT_LIFE_S)
        reported = max(0, load.running + load.queued - own)
        return own + weight * reported + (1.0 - weight) * alike

    def has_room(
        self, candidate: Candidate, loads: LoadsByEndpoint, exclusive: bool, now: float
    ) -> bool:
        """Return whether one more attempt may start on an endpoint.

        An entry host's share of the limit is always its own; a fresh report that shows room
        lets it borrow what the others leave.
        """
        use = loads.get(candidate.endpoint_id)
        if use is None or not use.running:
            return not exclusive or not self._is_used_by_others(candidate, now)
        if exclusive or use.exclusive:
            return False
        if use.running < math.ceil(candidate.limit / self._entry_hosts):
            return True
        load = self._load_by_id.get(candidate.endpoint_id)
        if self._entry_hosts == 1 or load is None or now - load.reported > const.HINT_LIFE_S:
            return False
        return self.total(candidate, loads, now) < candidate.limit

    def _is_used_by_others(self, candidate: Candidate, now: float) -> bool:
        """Return whether a fresh report shows work of other entry hosts."""
        load = self._load_by_id.get(candidate.endpoint_id)
        if load is None or now - load.reported > const.HINT_LIFE_S:
            return False
        return self._entry_hosts > 1 and load.running + load.queued > 0
