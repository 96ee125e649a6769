"""Permits that gateways want, and whose turn it is.

Streams that have started come first, then other requests that wait, in turn by member and then by
gateway; expected requests come last.
"""

from __future__ import annotations

import math
from collections import OrderedDict, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from lagoonwing_catalog.messages import ServiceDemand
from lagoonwing_core.ids import FailureDomainId, HostId, MemberId
from lagoonwing_registry.const import DEMAND_TTL_S, PERMIT_TRANSIT_S


@dataclass(slots=True)
class GatewayState:
    """What is known of one gateway and one service.

    Attributes:
        received: Permits that it has received, as it says.
        in_transit: Permits issued to it that it had not received when it said so.
        patience_s: Time for which its requests wait at most.
    """

    domain: FailureDomainId
    received: int
    updated_at: float
    in_transit: int = 0
    issued_at: float = -math.inf
    expected: int = 0
    patience_s: float = 0.0

    def update(self, demand: ServiceDemand, now: float) -> None:
        """Store what the gateway says."""
        arrived = demand.received - self.received
        is_lost = arrived < 0 or now > self.issued_at + PERMIT_TRANSIT_S
        self.in_transit = 0 if is_lost else max(0, self.in_transit - arrived)
        self.received = demand.received
        self.patience_s = demand.patience_s
        self.updated_at = now


class _Turns:
    """Waiting requests by member and gateway; members take turns, and so do their gateways."""

    def __init__(self) -> None:
        self._counts_by_member: OrderedDict[MemberId, OrderedDict[HostId, int]] = OrderedDict()

    def copy(self) -> _Turns:
        """Return a copy in the same order."""
        other = _Turns()
        for member_id, counts in self._counts_by_member.items():
            other._counts_by_member[member_id] = counts.copy()
        return other

    def total(self) -> int:
        """Return the number of waiting requests."""
        return sum(sum(counts.values()) for counts in self._counts_by_member.values())

    def replace(self, gateway_id: HostId, count_by_member: Mapping[MemberId, int]) -> None:
        """Store how many requests of each member wait at a gateway."""
        for member_id in list(self._counts_by_member.keys() - count_by_member.keys()):
            self._store(member_id, gateway_id, 0)
        for member_id, count in count_by_member.items():
            self._store(member_id, gateway_id, count)

    def take(self) -> tuple[HostId, MemberId] | None:
        """Remove the request whose turn it is; return its gateway and member."""
        if not self._counts_by_member:
            return None
        member_id, counts = next(iter(self._counts_by_member.items()))
        gateway_id, count = next(iter(counts.items()))
        self._counts_by_member.move_to_end(member_id)
        counts.move_to_end(gateway_id)
        self._store(member_id, gateway_id, count - 1)
        return gateway_id, member_id

    def _store(self, member_id: MemberId, gateway_id: HostId, count: int) -> None:
        """Store one count; a new member or gateway is last."""
        counts = self._counts_by_member.setdefault(member_id, OrderedDict())
        if count > 0:
            counts[gateway_id] = count
        else:
            counts.pop(gateway_id, None)
        if not counts:
            del self._counts_by_member[member_id]


@dataclass(frozen=True, slots=True)
class Want:
    """The next permit to issue: for which gateway, and for which waiting member, if any."""

    gateway_id: HostId
    member_id: MemberId | None


class ServiceDemands:
    """Demand for one service: streams that have started, other requests, expected ones."""

    def __init__(self) -> None:
        self.state_by_gateway: OrderedDict[HostId, GatewayState] = OrderedDict()
        self._started = _Turns()
        self._waiting = _Turns()

    def total(self) -> int:
        """Return the number of requests that wait."""
        return self._started.total() + self._waiting.total()

    def update(
        self, gateway_id: HostId, domain: FailureDomainId, demand: ServiceDemand, now: float
    ) -> None:
        """Store the demand of a gateway, less the permits that are on their way to it."""
        state = self.state_by_gateway.get(gateway_id)
        if state is None:
            state = GatewayState(domain, demand.received, now)
            self.state_by_gateway[gateway_id] = state
        state.update(demand, now)
        started, surplus = _subtract(demand.started_by_member, state.in_transit)
        waiting, surplus = _subtract(demand.waiting_by_member, surplus)
        self._started.replace(gateway_id, started)
        self._waiting.replace(gateway_id, waiting)
        state.expected = max(0, demand.expected - surplus)

    def take_next(self) -> Want | None:
        """Remove the want whose turn it is."""
        taken = self._started.take() or self._waiting.take()
        if taken is not None:
            return Want(*taken)
        for gateway_id, state in self.state_by_gateway.items():
            if state.expected:
                state.expected -= 1
                self.state_by_gateway.move_to_end(gateway_id)
                return Want(gateway_id, None)
        return None

    @property
    def longest_patience_s(self) -> float:
        """Time for which the most patient request of any gateway waits."""
        return max((state.patience_s for state in self.state_by_gateway.values()), default=0.0)

    def promises(self, due_s: Sequence[float]) -> dict[HostId, dict[MemberId, int]]:
        """Return the requests by gateway and member that will get a permit in time.

        Args:
            due_s: Times from now at which permits can be issued, in order.
        """
        promised: defaultdict[HostId, dict[MemberId, int]] = defaultdict(dict)
        started, waiting = self._started.copy(), self._waiting.copy()
        for wait_s in due_s:
            taken = started.take() or waiting.take()
            if taken is None:
                break
            gateway_id, member_id = taken
            if wait_s <= self.state_by_gateway[gateway_id].patience_s:
                counts = promised[gateway_id]
                counts[member_id] = counts.get(member_id, 0) + 1
        return promised

    def expire(self, now: float) -> None:
        """Discard the demand of gateways that have not repeated it."""
        for gateway_id, state in list(self.state_by_gateway.items()):
            if now > state.updated_at + DEMAND_TTL_S:
                del self.state_by_gateway[gateway_id]
                self._started.replace(gateway_id, {})
                self._waiting.replace(gateway_id, {})


def _subtract(
    count_by_member: Mapping[MemberId, int], surplus: int
) -> tuple[dict[MemberId, int], int]:
    """Return the counts less a surplus, and what is left of the surplus."""
    remaining: dict[MemberId, int] = {}
    for member_id, count in count_by_member.items():
        covered = min(surplus, count)
        surplus -= covered
        if count > covered:
            remaining[member_id] = count - covered
    return remaining, surplus
