"""A cluster of crash trackers, their relays and endpoints on simulated time."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

import msgspec
from simulated_time import SimulatedTime
from tornado.httputil import HTTPHeaders

from lagoonwing_catalog.messages import CrashExtract
from lagoonwing_catalog.models import EndpointRecord, EndpointState, RequestKind, Route
from lagoonwing_core.ids import AttemptId, EndpointId, FailureDomainId, RouteId, ServiceId
from lagoonwing_gateway._crash_tracker import CrashTracker
from lagoonwing_gateway.const import CRASH_PUSH_INTERVAL_S, MAX_WRITING_BEFORE_CRASH_S
from lagoonwing_gateway.models import CallerRequest, RequestContext
from lagoonwing_registry._crash_relay import CrashRelay

DOMAINS = 3
MAX_ATTEMPTS = 2
RUN_S = 1.5
CRASH_AFTER_S = 0.1
RESTART_S = 3.0

_ROUTE = Route(RouteId("r"), "h", "/s/", RequestKind.STREAM, 20.0, 0.5, 1, (), 2, True, True)


def make_context(request_id: str, parts: tuple[str, ...]) -> RequestContext:
    """Return a stream request whose prompt has the given parts."""
    request = CallerRequest(
        attempt_id=AttemptId(request_id),
        method="POST",
        host="h",
        path="/s/x",
        target="/s/x",
        headers=HTTPHeaders(),
        body=request_id.encode(),
        key=None,
        budget_s=None,
        size=None,
        last_event_id=None,
        received_at=0.0,
        prompt_parts=parts,
    )
    return RequestContext(request, _ROUTE, None, 20.0, first_attempt_at=0.0)


def make_record(endpoint_id: str, started_ms: int, domain: int = 0) -> EndpointRecord:
    """Return the record of a ready endpoint."""
    return EndpointRecord(
        EndpointId(endpoint_id),
        ServiceId("s"),
        "127.0.0.1",
        1,
        FailureDomainId(f"d-{domain}"),
        8,
        EndpointState.READY,
        started_ms,
        1,
    )


@dataclass(eq=False)
class Run:
    """One request on its way.

    Attributes:
        is_refused: Whether an attempt was refused because of its traits.
        is_served: Whether it ended well.
    """

    gateway: SimulatedGateway
    context: RequestContext
    attempts: int = 0
    began_at: float = 0.0
    endpoint: EndpointRecord | None = None
    is_refused: bool = False
    is_served: bool = False


@dataclass(eq=False)
class SimulatedGateway:
    """A gateway's crash tracker and the replica that it follows."""

    tracker: CrashTracker
    replica: SimulatedReplica
    is_connected: bool = True
    is_new: bool = True


@dataclass(eq=False)
class SimulatedReplica:
    """Stands for the subscribers and the peers of a relay."""

    cluster: CrashCluster
    gateways: list[SimulatedGateway] = field(default_factory=list)
    relay: CrashRelay = field(init=False)

    def push_to_gateways(self, extract: CrashExtract) -> None:
        """Deliver an extract to the gateways that follow this replica."""
        self.cluster.count_message(extract, len(self.gateways))
        for gateway in self.gateways:
            self.cluster.deliver(gateway, extract)

    def push_all(self, extract: CrashExtract) -> None:
        """Deliver an extract to the other replicas."""
        for replica in self.cluster.replicas:
            if replica is not self:
                self.cluster.schedule_message(lambda relay=replica.relay: relay.merge(extract))

    def push(self, extract: CrashExtract) -> None:
        """Deliver an extract to the newest gateway, as to its channel."""
        self.cluster.deliver(self.gateways[-1], extract)


class CrashCluster(SimulatedTime):
    """Runs requests at random gateways and endpoints."""

    def __init__(self, seed: int, gateways: int = 4, endpoints: int = 33, lag_s: float = 0.2):
        super().__init__()
        self.rng = random.Random(seed)
        self.lag_s = lag_s
        self.largest_message = 0
        self.messages = 0
        self.reached: list[tuple[float, tuple[str, ...]]] = []
        self.crashes: list[tuple[float, str]] = []
        self.crashing_parts: set[str] = set()
        self.replicas = [SimulatedReplica(self) for _ in range(5)]
        for replica in self.replicas:
            replica.relay = CrashRelay(cast(Any, replica), cast(Any, replica), self.clock)
        self.gateways: list[SimulatedGateway] = []
        for _ in range(gateways):
            self.add_gateway()
        self.endpoints = [
            make_record(f"e-{number}", 0, number % DOMAINS) for number in range(endpoints)
        ]
        self.runs: dict[Run, None] = {}
        self._numbers = itertools.count()
        self.schedule(CRASH_PUSH_INTERVAL_S, self._exchange)

    def add_gateway(self) -> SimulatedGateway:
        """Start a gateway, which subscribes to a replica."""
        replica = self.rng.choice(self.replicas)
        gateway = SimulatedGateway(CrashTracker(self.clock), replica)
        self.gateways.append(gateway)
        replica.gateways.append(gateway)
        replica.relay.push_all_to(cast(Any, replica))
        return gateway

    def stop_gateway(self, gateway: SimulatedGateway) -> None:
        """Kill a gateway."""
        self.gateways.remove(gateway)
        gateway.replica.gateways.remove(gateway)

    def schedule_message(self, action: Callable[[], None]) -> None:
        """Schedule the arrival of a message."""
        self.schedule(self.rng.uniform(0.0, self.lag_s), action)

    def deliver(self, gateway: SimulatedGateway, extract: CrashExtract) -> None:
        """Send an extract to a gateway, unless it is cut off."""
        if gateway.is_connected:
            self.schedule_message(lambda: gateway.tracker.merge(extract))

    def count_message(self, extract: CrashExtract, receivers: int) -> None:
        """Count the messages to gateways and their size in bytes."""
        self.messages += receivers
        self.largest_message = max(self.largest_message, len(msgspec.msgpack.encode(extract)))

    def send(self, *parts: str, gateway: SimulatedGateway | None = None) -> Run:
        """Send a new request with the given shared parts and a part of its own."""
        number = f"q-{next(self._numbers)}"
        run = Run(gateway or self.rng.choice(self.gateways), make_context(number, (*parts, number)))
        if run.gateway.tracker.is_quarantined(run.context):
            run.is_refused = True
        else:
            self._start(run)
        return run

    def crash(self, endpoint: EndpointRecord) -> None:
        """Crash an endpoint; it is back later as a new incarnation."""
        if endpoint not in self.endpoints:
            return
        self.endpoints.remove(endpoint)
        lost_runs = [run for run in self.runs if run.endpoint is endpoint]
        for run in lost_runs:
            self.runs.pop(run, None)
            self._observe_crash(run, endpoint)
        for run in lost_runs:
            if run.attempts == MAX_ATTEMPTS:
                continue
            if run.gateway.tracker.may_send_again(run.context):
                self._start(run)
            else:
                run.is_refused = True
        self.schedule(RESTART_S, lambda: self._restart(endpoint))

    def reached_after(self, time: float, part: str) -> int:
        """Return how many requests with a part reached endpoints after a point in time."""
        return sum(reached_at > time and part in parts for reached_at, parts in self.reached)

    def crash_times(self, part: str) -> list[float]:
        """Return the times at which requests with a part crashed endpoints."""
        return [time for time, crashed_part in self.crashes if crashed_part == part]

    def _start(self, run: Run) -> None:
        """Send a request to a random endpoint."""
        if not self.endpoints:
            return
        parts = run.context.request.prompt_parts
        run.attempts += 1
        run.began_at = self.clock.now()
        run.endpoint = endpoint = self.rng.choice(self.endpoints)
        self.runs[run] = None
        self.reached.append((run.began_at, parts))
        attempt = run.attempts
        crashing = self.crashing_parts.intersection(parts[:-1])
        if crashing:
            self.schedule(CRASH_AFTER_S, lambda: self._crash_by(run, attempt, endpoint, crashing))
        else:
            self.schedule(RUN_S, lambda: self._finish(run, attempt))

    def _crash_by(
        self, run: Run, attempt: int, endpoint: EndpointRecord, crashing: set[str]
    ) -> None:
        """Crash an endpoint on which a request has begun to write."""
        if run in self.runs and run.attempts == attempt:
            self.crashes.extend((self.clock.now(), part) for part in sorted(crashing))
            self.crash(endpoint)

    def _finish(self, run: Run, attempt: int) -> None:
        """End a request well."""
        if run in self.runs and run.attempts == attempt:
            self.runs.pop(run, None)
            run.is_served = True
            run.gateway.tracker.record_served(run.context)

    def _observe_crash(self, run: Run, endpoint: EndpointRecord) -> None:
        """Let a gateway see the end of a request's endpoint."""
        # Half of a run is reading and waiting, the rest writing.
        writing_s = self.clock.now() - run.began_at - RUN_S / 2
        if writing_s <= MAX_WRITING_BEFORE_CRASH_S:
            run.gateway.tracker.record_crash(run.context, endpoint)
        else:
            run.gateway.tracker.record_loss(endpoint)

    def _restart(self, endpoint: EndpointRecord) -> None:
        """Start a new incarnation of an endpoint."""
        started_ms = endpoint.started_ms + 1
        self.endpoints.append(msgspec.structs.replace(endpoint, started_ms=started_ms))

    def _exchange(self) -> None:
        """Let gateways and replicas send what has changed."""
        for gateway in self.gateways:
            if not gateway.is_connected:
                continue
            extract = gateway.tracker.take_extract(is_new_receiver=gateway.is_new)
            gateway.is_new = False
            if extract is not None:
                relay = gateway.replica.relay
                self.schedule_message(lambda relay=relay, extract=extract: relay.merge(extract))
        for replica in self.replicas:
            replica.relay.push_if_due()
        self.schedule(CRASH_PUSH_INTERVAL_S, self._exchange)
