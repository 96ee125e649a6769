"""Permits on hand: each allows one request to an endpoint that named a limit."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId, MemberId, ServiceId
from lagoonwing_gateway.const import MAX_PERMIT_TTL_S, MAX_UNUSED_PERMITS, PERMIT_TTL_S


@dataclass(frozen=True, slots=True, eq=False)
class Permit:
    """Permission to send one request.

    Attributes:
        member_id: Member whose request waits for it; None if it is for an expected request.
    """

    service_id: ServiceId
    endpoint_id: EndpointId
    member_id: MemberId | None
    expires_at: float


class PermitPool:
    """Permits of one service; unused ones expire, since the limit is for each moment."""

    def __init__(self, service_id: ServiceId, clock: Clock) -> None:
        self._service_id = service_id
        self._clock = clock
        self._permits_by_id: dict[EndpointId, list[Permit]] = {}

    @callback
    def add(self, endpoint_id: EndpointId, member_id: MemberId | None, rate: float | None) -> None:
        """Add a new permit.

        Args:
            endpoint_id: Endpoint to which it allows a request.
            member_id: Member whose request waits for it; None if it is for an expected request.
            rate: Requests per second that the endpoint named; None if its limit has ended.
        """
        expires_at = self._clock.now() + _ttl_s(rate)
        permit = Permit(self._service_id, endpoint_id, member_id, expires_at)
        self._permits_by_id.setdefault(endpoint_id, []).append(permit)

    def permits(self, endpoint_id: EndpointId) -> list[Permit]:
        """Return the valid permits for an endpoint."""
        now = self._clock.now()
        return [
            permit for permit in self._permits_by_id.get(endpoint_id, ()) if permit.expires_at > now
        ]

    def counts_by_member(self) -> dict[MemberId | None, int]:
        """Return the number of valid permits by the member for which they are."""
        counts: Counter[MemberId | None] = Counter()
        for endpoint_id in self._permits_by_id:
            counts.update(permit.member_id for permit in self.permits(endpoint_id))
        return dict(counts)

    @callback
    def take(
        self, endpoint_id: EndpointId, may_use: Callable[[MemberId | None], bool]
    ) -> Permit | None:
        """Remove and return the permit that expires first among those that may be used."""
        usable = [permit for permit in self.permits(endpoint_id) if may_use(permit.member_id)]
        if not usable:
            return None
        permit = min(usable, key=lambda candidate: candidate.expires_at)
        self._permits_by_id[endpoint_id].remove(permit)
        return permit

    @callback
    def give_back(self, permit: Permit) -> None:
        """Return a permit that was not used."""
        self._permits_by_id.setdefault(permit.endpoint_id, []).append(permit)

    @callback
    def discard(self, endpoint_id: EndpointId) -> None:
        """Discard all permits for an endpoint."""
        self._permits_by_id.pop(endpoint_id, None)

    @callback
    def prune(self) -> None:
        """Discard expired permits."""
        for endpoint_id in list(self._permits_by_id):
            valid = self.permits(endpoint_id)
            if valid:
                self._permits_by_id[endpoint_id] = valid
            else:
                del self._permits_by_id[endpoint_id]


def _ttl_s(rate: float | None) -> float:
    """Return how long a permit is valid under a limit; longer if permits are rare."""
    if rate is None:
        return PERMIT_TTL_S
    if rate * MAX_PERMIT_TTL_S <= MAX_UNUSED_PERMITS:
        return MAX_PERMIT_TTL_S
    return max(PERMIT_TTL_S, MAX_UNUSED_PERMITS / rate)
