"""Message latency between failure domains."""

from __future__ import annotations

from lagoonwing_core.ids import FailureDomainId
from lagoonwing_policy.routing.models import RouterSettings


class LinkTable:
    """Link latency by pair of failure domains."""

    def __init__(self, settings: RouterSettings) -> None:
        self._default_s = settings.default_link_s
        self._seconds_by_pair: dict[tuple[FailureDomainId, FailureDomainId], float] = {}
        for link in settings.links:
            self._seconds_by_pair[link.domain_a, link.domain_b] = link.seconds
            self._seconds_by_pair[link.domain_b, link.domain_a] = link.seconds

    def seconds(self, domain_a: FailureDomainId, domain_b: FailureDomainId) -> float:
        """Return the message latency between two domains; 0 within one domain."""
        if domain_a == domain_b:
            return 0.0
        return self._seconds_by_pair.get((domain_a, domain_b), self._default_s)
