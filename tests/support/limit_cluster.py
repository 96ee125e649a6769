"""Gateways, replicas and endpoints that name limits, on simulated time."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

from simulated_time import SimulatedTime

from lagoonwing_catalog.messages import (
    CatalogMessage,
    LimitExtract,
    PermitGrant,
    RelayedDemand,
    RelayedGrant,
)
from lagoonwing_catalog.models import EndpointRecord, EndpointState
from lagoonwing_core.ids import EndpointId, FailureDomainId, HostId, MemberId, ServiceId
from lagoonwing_gateway._endpoint_limiter import EndpointLimiter
from lagoonwing_gateway._limit_tracker import LimitTracker
from lagoonwing_gateway._permit_wait import PermitWait
from lagoonwing_gateway.const import MAX_SOURCE_AGE_S
from lagoonwing_gateway.models import NamedLimit, ResponseInfo
from lagoonwing_registry._limit_relay import LimitRelay
from lagoonwing_registry._permit_relay import PermitRelay

SERVICE = ServiceId("s")
DOMAINS = 3
REPLICAS = 5
# Longest time of a message between two processes.
LAG_S = 0.03
# Time in which an endpoint answers.
ANSWER_S = 0.06
POLL_S = 0.02
# Time that a request may wait for a permit.
PATIENCE_S = 0.35
STARTED_PATIENCE_S = 2.0
# Intervals of the loops of gateways and replicas.
GATEWAY_INTERVAL_S = 0.02
REPLICA_INTERVAL_S = 0.02
SLOTS = 10_000


@dataclass(eq=False)
class SimulatedEndpoint:
    """An endpoint that answers each request and names a limit.

    Attributes:
        arrivals: Time, gateway and member of each request.
    """

    record: EndpointRecord
    limit: float | None = None
    arrivals: list[tuple[float, SimulatedGateway, str]] = field(default_factory=list)

    def times(self) -> list[float]:
        """Return the times of arrival."""
        return [time for time, _, _ in self.arrivals]


@dataclass(eq=False)
class SimulatedRequest:
    """A request and how it ended.

    Attributes:
        sends_left: Number of times that it is sent, since its answers break off.
        refused_at: Time at which it was refused.
    """

    member: str
    arrived_at: float
    sends_left: int = 1
    is_started: bool = False
    is_served: bool = False
    refused_at: float | None = None

    @property
    def held_s(self) -> float:
        """Time for which it was held before it was refused."""
        return 0.0 if self.refused_at is None else self.refused_at - self.arrived_at


@dataclass(eq=False)
class SimulatedGateway:
    """The limiter of a gateway, and the replica that it follows."""

    host_id: HostId
    domain: FailureDomainId
    replica: SimulatedReplica
    limits: LimitTracker
    limiter: EndpointLimiter
    is_connected: bool = True
    is_frozen: bool = False
    is_new: bool = True
    held_events: list[Callable[[], None]] = field(default_factory=list)


@dataclass(eq=False)
class SimulatedReplica:
    """Stands for the log, the subscribers and the peers of the relays."""

    cluster: LimitCluster
    host_id: HostId
    gateways: list[SimulatedGateway] = field(default_factory=list)
    limits: LimitRelay = field(init=False)
    permits: PermitRelay = field(init=False)

    def lease_term(self) -> int | None:
        """Return a term if this replica leads."""
        return 1 if self.cluster.leader is self else None

    def status(self) -> SimpleNamespace:
        """Return who leads."""
        leader = self.cluster.leader
        return SimpleNamespace(leader=None if leader is None else leader.host_id)

    def push_to_gateways(self, message: CatalogMessage) -> None:
        """Send a message to all gateways that follow this replica."""
        for gateway in self.gateways:
            self.cluster.deliver_to_gateway(gateway, message)

    def push_to(self, gateway_id: HostId, message: CatalogMessage) -> None:
        """Send a message to one gateway."""
        for gateway in self.gateways:
            if gateway.host_id == gateway_id:
                self.cluster.deliver_to_gateway(gateway, message)

    def push_all(self, message: CatalogMessage) -> None:
        """Send a message to all other replicas."""
        for replica in self.cluster.replicas:
            if replica is not self:
                self.cluster.deliver_to_replica(replica, self.host_id, message)

    def push(self, host_id: HostId, message: CatalogMessage) -> bool:
        """Send a message to another replica."""
        for replica in self.cluster.replicas:
            if replica.host_id == host_id:
                self.cluster.deliver_to_replica(replica, self.host_id, message)
        return True

    def failure_domain(self, channel: SimpleNamespace) -> FailureDomainId | None:
        """Return the failure domain of a gateway."""
        return cast(FailureDomainId, channel.domain)

    def all_suspects(self) -> tuple[EndpointId, ...]:
        """Return no suspects."""
        return ()


class LimitCluster(SimulatedTime):
    """Sends requests at random gateways to the endpoint that has the fewest."""

    def __init__(self, seed: int, gateways: int, endpoints: int) -> None:
        super().__init__(start=100.0)
        self.rng = random.Random(seed)
        self.endpoint_by_id = {
            EndpointId(f"e-{number}"): SimulatedEndpoint(_make_record(number))
            for number in range(endpoints)
        }
        self.record_by_id = {
            endpoint_id: endpoint.record for endpoint_id, endpoint in self.endpoint_by_id.items()
        }
        self.requests: list[SimulatedRequest] = []
        self._numbers = itertools.count()
        self.replicas = [
            SimulatedReplica(self, HostId(f"r-{number}")) for number in range(REPLICAS)
        ]
        self.leader: SimulatedReplica | None = self.replicas[0]
        self._led_until = math.inf
        state_machine = SimpleNamespace(state=SimpleNamespace(endpoint_by_id=self.record_by_id))
        for replica in self.replicas:
            stand_in = cast(Any, replica)
            replica.limits = LimitRelay(cast(Any, state_machine), stand_in, stand_in, self.clock)
            replica.permits = PermitRelay(stand_in, replica.limits, stand_in, stand_in, self.clock)
        self.gateways: list[SimulatedGateway] = []
        for _ in range(gateways):
            self.add_gateway()
        self.schedule(GATEWAY_INTERVAL_S, self._run_gateways)
        self.schedule(REPLICA_INTERVAL_S, self._run_replicas)

    @property
    def endpoints(self) -> list[SimulatedEndpoint]:
        """All endpoints."""
        return list(self.endpoint_by_id.values())

    def add_gateway(self) -> SimulatedGateway:
        """Start a gateway, which subscribes to a replica."""
        number = next(self._numbers)
        replica = self.replicas[number % REPLICAS]
        limits = LimitTracker(self.clock, lambda: self.record_by_id)
        limiter = EndpointLimiter(
            limits,
            self.clock,
            self.rng,
            lambda: len(self.gateways),
            lambda: gateway.is_connected and self._is_replica_current(),
        )
        domain = FailureDomainId(f"d-{number % DOMAINS}")
        gateway = SimulatedGateway(HostId(f"g-{number}"), domain, replica, limits, limiter)
        self.gateways.append(gateway)
        replica.gateways.append(gateway)
        limits.on_change = limiter.discard_permits
        limits.merge(replica.limits._ledger.extract(self.clock.now()))
        return gateway

    def stop_gateway(self, gateway: SimulatedGateway) -> None:
        """Kill a gateway."""
        self.gateways.remove(gateway)
        gateway.replica.gateways.remove(gateway)

    def freeze(self, gateway: SimulatedGateway, seconds: float) -> None:
        """Let a gateway stand still; what reaches it meanwhile is handled afterwards."""
        gateway.is_frozen = True
        self.schedule(seconds, lambda: self._thaw(gateway))

    def name_limit(self, rate: float | None, count: int | None = None) -> None:
        """Let the first endpoints name a limit from now on."""
        for endpoint in self.endpoints[:count]:
            endpoint.limit = rate

    def run(
        self,
        seconds: float,
        rate_by_member: dict[str, float],
        gateways: list[SimulatedGateway] | None = None,
        sends: int = 1,
    ) -> list[SimulatedRequest]:
        """Send requests of members at random times; return them.

        Args:
            seconds: Time for which requests are sent.
            rate_by_member: Requests per second by member.
            gateways: Gateways that get them; all by default.
            sends: Number of times that each request is sent, as its answers break off.
        """
        first = len(self.requests)
        end = self.clock.now() + seconds
        total = sum(rate_by_member.values())
        members, rates = list(rate_by_member), list(rate_by_member.values())
        while True:
            self.advance(self.rng.expovariate(total))
            if self.clock.now() >= end:
                return self.requests[first:]
            member = self.rng.choices(members, rates)[0]
            request = SimulatedRequest(member, self.clock.now(), sends)
            self.requests.append(request)
            gateway = self.rng.choice(gateways or self.gateways)
            gateway.limiter.record_request(SERVICE, self.record_by_id)
            self._when_running(gateway, lambda g=gateway, r=request: self._begin(g, r))

    def deliver_to_gateway(self, gateway: SimulatedGateway, message: CatalogMessage) -> None:
        """Send a message to a gateway, unless it is cut off."""
        if gateway.is_connected:
            self._schedule_message(
                lambda: self._when_running(gateway, lambda: _receive(gateway, message))
            )

    def deliver_to_replica(
        self, replica: SimulatedReplica, sender: HostId, message: CatalogMessage
    ) -> None:
        """Send a message to a replica."""

        def receive() -> None:
            match message:
                case LimitExtract():
                    replica.limits.merge(message)
                case RelayedDemand():
                    replica.permits.record_relayed(sender, message)
                case RelayedGrant():
                    replica.permits.deliver(message)

        self._schedule_message(receive)

    def set_leader(self, leader: SimulatedReplica | None) -> None:
        """Let a replica lead, or none."""
        self.leader = leader
        self._led_until = math.inf if leader is not None else self.clock.now()

    def _is_replica_current(self) -> bool:
        """Return whether replicas may still be followed, as gateways judge it."""
        return self.clock.now() <= self._led_until + MAX_SOURCE_AGE_S

    def _schedule_message(self, action: Callable[[], None]) -> None:
        """Schedule the arrival of a message."""
        self.schedule(self.rng.uniform(0.0, LAG_S), action)

    def _when_running(self, gateway: SimulatedGateway, action: Callable[[], None]) -> None:
        """Run an action of a gateway now, or once it no longer stands still."""
        if gateway.is_frozen:
            gateway.held_events.append(action)
        else:
            action()

    def _thaw(self, gateway: SimulatedGateway) -> None:
        """Let a gateway run again."""
        gateway.is_frozen = False
        held, gateway.held_events = gateway.held_events, []
        for action in held:
            action()

    def _begin(self, gateway: SimulatedGateway, request: SimulatedRequest) -> None:
        """Send a request, or let it wait for a permit."""
        if self._try_send(gateway, request, None):
            return
        patience_s = STARTED_PATIENCE_S if request.is_started else PATIENCE_S
        deadline = self.clock.now() + patience_s
        wait = PermitWait(gateway.limiter, self.clock, deadline)
        wait.begin(
            SERVICE, MemberId(request.member), self.record_by_id, is_started=request.is_started
        )
        self._poll(gateway, request, wait, deadline)

    def _poll(
        self,
        gateway: SimulatedGateway,
        request: SimulatedRequest,
        wait: PermitWait,
        deadline: float,
    ) -> None:
        """Look again whether a waiting request can be sent."""
        if self._try_send(gateway, request, wait):
            wait.end()
        elif wait.is_hopeless() or self.clock.now() >= deadline:
            wait.end()
            request.refused_at = self.clock.now()
        else:
            self.schedule(
                POLL_S,
                lambda: self._when_running(
                    gateway, lambda: self._poll(gateway, request, wait, deadline)
                ),
            )

    def _try_send(
        self, gateway: SimulatedGateway, request: SimulatedRequest, wait: PermitWait | None
    ) -> bool:
        """Send a request if an endpoint may get it."""
        waiter = None if wait is None else wait.waiter
        member_id = MemberId(request.member)
        may_enter = gateway.limiter.entry_check(SERVICE, member_id, waiter)
        usable = [endpoint_id for endpoint_id in self.endpoint_by_id if may_enter(endpoint_id)]
        if not usable:
            return False
        endpoint_id = self.rng.choice(usable)
        gateway.limiter.take(endpoint_id, SERVICE, member_id, waiter)
        endpoint = self.endpoint_by_id[endpoint_id]
        endpoint.arrivals.append((self.clock.now(), gateway, request.member))
        request.sends_left -= 1
        self.schedule(
            ANSWER_S,
            lambda: self._when_running(gateway, lambda: self._answer(gateway, request, endpoint)),
        )
        return True

    def _answer(
        self, gateway: SimulatedGateway, request: SimulatedRequest, endpoint: SimulatedEndpoint
    ) -> None:
        """Let a gateway read an answer; a stream that breaks off is sent again."""
        info = ResponseInfo(200, False, True, False, None, NamedLimit(endpoint.limit))
        gateway.limits.record_response(endpoint.record, info)
        if request.sends_left:
            request.is_started = True
            self._begin(gateway, request)
        else:
            request.is_served = True

    def _run_gateways(self) -> None:
        """Let gateways send what has changed."""
        for gateway in self.gateways:
            if gateway.is_connected and not gateway.is_frozen:
                self._report(gateway)
        self.schedule(GATEWAY_INTERVAL_S, self._run_gateways)

    def _report(self, gateway: SimulatedGateway) -> None:
        """Let one gateway send what has changed."""
        replica = gateway.replica
        extract = gateway.limits.take_extract(is_new_receiver=gateway.is_new)
        gateway.is_new = False
        if extract is not None:
            self._schedule_message(lambda: replica.limits.merge(extract))
        demand = gateway.limiter.take_demand()
        if demand is not None:
            channel = cast(Any, SimpleNamespace(peer_id=gateway.host_id, domain=gateway.domain))
            self._schedule_message(lambda: replica.permits.record_demand(channel, demand))

    def _run_replicas(self) -> None:
        """Let replicas issue permits and pass messages on."""
        for replica in self.replicas:
            replica.limits.push_if_due()
            replica.permits.process()
        self.schedule(REPLICA_INTERVAL_S, self._run_replicas)


def _receive(gateway: SimulatedGateway, message: CatalogMessage) -> None:
    """Let a gateway handle a message."""
    match message:
        case LimitExtract():
            gateway.limits.merge(message)
        case PermitGrant():
            gateway.limiter.record_grant(message)


def _make_record(number: int) -> EndpointRecord:
    """Return the record of a ready endpoint."""
    return EndpointRecord(
        EndpointId(f"e-{number}"),
        SERVICE,
        "127.0.0.1",
        number + 1,
        FailureDomainId(f"d-{number % DOMAINS}"),
        SLOTS,
        EndpointState.READY,
        1,
        1,
    )
