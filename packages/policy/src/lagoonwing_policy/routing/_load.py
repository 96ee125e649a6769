"""Load of endpoints: attempts of this host are exact, load reports are hints."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass

from lagoonwing_core.ids import EndpointId
from lagoonwing_policy._protocols import EndpointUse
from lagoonwing_policy.models import EndpointLoad
from lagoonwing_policy.routing import const
from lagoonwing_policy.routing._pools import Candidate
from lagoonwing_policy.routing._quotas import QuotaTable

# Lower bound of the share that the estimate of other hosts' attempts divides by.
MIN_SHARE = 0.01

LoadsByEndpoint = Mapping[EndpointId, EndpointUse]


@dataclass(frozen=True, slots=True)
class _Report:
    """Load report, with the attempts of this host when it arrived.

    Attributes:
        own: Attempts of this entry host in flight on the endpoint.
    """

    load: EndpointLoad
    own: int

    def others(self, candidate: Candidate) -> float:
        """Return the estimated attempts of other entry hosts, running and queued.

        A stage reports the steps that it is running; most of its sequences are at other stages
        at that time, so the number is scaled up.
        """
        steps = self.load.running + self.load.queued
        return max(0.0, steps * candidate.limit / candidate.slots - self.own)


class LoadEstimator:
    """Estimates the attempts of all entry hosts in flight on an endpoint."""

    def __init__(self, quotas: QuotaTable, rng: random.Random) -> None:
        self._rng = rng
        self._quotas = quotas
        self._report_by_id: dict[EndpointId, _Report] = {}

    def report(self, load: EndpointLoad, own: int) -> None:
        """Store a load report and this host's attempts in flight, unless it is outdated."""
        known = self._report_by_id.get(load.endpoint_id)
        if known is None or load.reported >= known.load.reported:
            self._report_by_id[load.endpoint_id] = _Report(load, own)

    def keep_only(self, endpoint_ids: set[EndpointId]) -> None:
        """Discard the reports of all other endpoints."""
        for endpoint_id in list(self._report_by_id):
            if endpoint_id not in endpoint_ids:
                del self._report_by_id[endpoint_id]

    def total(self, candidate: Candidate, loads: LoadsByEndpoint, now: float) -> float:
        """Estimate the attempts of all entry hosts in flight.

        Without a recent report, the other hosts are assumed to use their shares to the same
        degree as this host. The weight of a report decreases with its age.
        """
        use = loads.get(candidate.endpoint_id)
        own = use.running if use is not None else 0
        share = self._quotas.share_of(candidate.endpoint_id).size
        if share >= 1.0:
            return own
        assumed_others = own * (1.0 / max(share, MIN_SHARE) - 1.0)
        report = self._report_by_id.get(candidate.endpoint_id)
        if report is None:
            return own + assumed_others
        weight = max(0.0, 1.0 - (now - report.load.reported) / const.HINT_TTL_S)
        return own + weight * report.others(candidate) + (1.0 - weight) * assumed_others

    def has_room(
        self, candidate: Candidate, loads: LoadsByEndpoint, exclusive: bool, now: float
    ) -> bool:
        """Return whether one more attempt may start on an endpoint.

        An entry host may always use its quota of the limit. It may borrow unused capacity of
        other hosts if a recent report shows room.
        """
        use = loads.get(candidate.endpoint_id)
        if use is None or not use.running:
            return not exclusive or not self._is_used_by_other_hosts(candidate, now)
        if exclusive or use.exclusive:
            return False
        if self.is_within_quota(candidate, loads):
            return True
        report = self._report_by_id.get(candidate.endpoint_id)
        if self._quotas.share_of(candidate.endpoint_id).size >= 1.0 or report is None:
            return False
        if now - report.load.reported > const.HINT_TTL_S:
            return False
        return self._may_borrow(candidate, report, use.running)

    def is_within_quota(self, candidate: Candidate, loads: LoadsByEndpoint) -> bool:
        """Return whether one more attempt stays within this host's quota of an endpoint."""
        use = loads.get(candidate.endpoint_id)
        own = use.running if use is not None else 0
        return own < self._quotas.quota(candidate.endpoint_id, candidate.limit)

    def _may_borrow(self, candidate: Candidate, report: _Report, own: int) -> bool:
        """Return whether this host may use some of the room that a report shows.

        All entry hosts see the same room; if each used all of it, requests would queue in the
        engine. Each host therefore uses only its share of the room. The last slot is never
        borrowed, so that a host whose quota includes it does not have to queue.
        """
        room = candidate.limit - report.others(candidate) - report.own - 1
        taken = max(0, own - report.own)
        share = self._quotas.share_of(candidate.endpoint_id).size
        return taken + self._rng.random() < room * share

    def _is_used_by_other_hosts(self, candidate: Candidate, now: float) -> bool:
        """Return whether a recent report shows work of other entry hosts."""
        report = self._report_by_id.get(candidate.endpoint_id)
        if report is None or now - report.load.reported > const.HINT_TTL_S:
            return False
        shared = self._quotas.share_of(candidate.endpoint_id).size < 1.0
        return shared and report.load.running + report.load.queued > 0
