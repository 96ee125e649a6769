"""How busy endpoints are: own attempts are facts, load reports are hints."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass

from lagoonwing_core.ids import EndpointId
from lagoonwing_policy._router_protocol import EndpointUse
from lagoonwing_policy.models import EndpointLoad
from lagoonwing_policy.routing import const
from lagoonwing_policy.routing._pools import Candidate
from lagoonwing_policy.routing._quotas import QuotaTable

# Least part that the estimate of the others divides by.
MIN_SHARE = 0.01

LoadsByEndpoint = Mapping[EndpointId, EndpointUse]


@dataclass(frozen=True, slots=True)
class _Report:
    """Load report, with what this host had in flight when it came.

    Attributes:
        own: Attempts of this entry host.
    """

    load: EndpointLoad
    own: int

    def others(self, candidate: Candidate) -> float:
        """Return the attempts of other entry hosts, running and queued.

        A stage reports the steps that it runs now; most of its sequences are at other stages.
        """
        steps = self.load.running + self.load.queued
        return max(0.0, steps * candidate.limit / candidate.slots - self.own)


class LoadEstimator:
    """Estimates what all entry hosts have in flight on an endpoint."""

    def __init__(self, quotas: QuotaTable, rng: random.Random) -> None:
        self._rng = rng
        self._quotas = quotas
        self._report_by_id: dict[EndpointId, _Report] = {}

    def report(self, load: EndpointLoad, own: int) -> None:
        """Keep the latest report of an endpoint, and what this host has in flight there now."""
        known = self._report_by_id.get(load.endpoint_id)
        if known is None or load.reported >= known.load.reported:
            self._report_by_id[load.endpoint_id] = _Report(load, own)

    def keep_only(self, endpoint_ids: set[EndpointId]) -> None:
        """Drop reports of endpoints that are gone."""
        for endpoint_id in list(self._report_by_id):
            if endpoint_id not in endpoint_ids:
                del self._report_by_id[endpoint_id]

    def total(self, candidate: Candidate, loads: LoadsByEndpoint, now: float) -> float:
        """Estimate the attempts in flight of all entry hosts.

        Without a fresh report the others are taken to use their parts as this host does its own.
        A report counts less as it ages.
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

        An entry host's part of the limit is always its own; a fresh report that shows room
        lets it borrow what the others leave.
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
        """Return whether one more attempt stays within this host's share of an endpoint."""
        use = loads.get(candidate.endpoint_id)
        own = use.running if use is not None else 0
        return own < self._quotas.quota(candidate.endpoint_id, candidate.limit)

    def _may_borrow(self, candidate: Candidate, report: _Report, own: int) -> bool:
        """Return whether this host's part of the room that a report showed is left.

        Every entry host saw the same room; if each took all of it, the engine would queue. The
        last slot is never borrowed: a host whose own share it is would queue behind.
        """
        room = candidate.limit - report.others(candidate) - report.own - 1
        taken = max(0, own - report.own)
        share = self._quotas.share_of(candidate.endpoint_id).size
        return taken + self._rng.random() < room * share

    def _is_used_by_other_hosts(self, candidate: Candidate, now: float) -> bool:
        """Return whether a fresh report shows work of other entry hosts."""
        report = self._report_by_id.get(candidate.endpoint_id)
        if report is None or now - report.load.reported > const.HINT_TTL_S:
            return False
        shared = self._quotas.share_of(candidate.endpoint_id).size < 1.0
        return shared and report.load.running + report.load.queued > 0
