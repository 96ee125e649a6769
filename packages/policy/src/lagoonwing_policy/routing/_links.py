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
            self._seconds_by_pair[link.one, link.other] = link.seconds
            self._seconds_by_pair[link.other, link.one] = link.seconds

    def seconds(self, one: FailureDomainId, other: FailureDomainId) -> float:
        """Return the message latency between two domains; 0 within one domain."""
        if one == other:
            return 0.0
        return self._seconds_by_pair.get((one, other), self._default_s)
