"""Simulation of a request that crashes endpoints and is resent to several entry hosts."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from dataclasses import dataclass, field

import msgspec
import pytest

from bench.clusters import whole_cluster
from bench.stage_engines import MODEL
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import (
    AgreementId,
    EndpointId,
    Fingerprint,
    Incarnation,
    MemberId,
    RequestId,
    Revision,
)
from lagoonwing_core.models import Agreement, EntityState, Member, Quarantine, QuarantineState
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy import NoLimits, Scheduler, SchedulerSettings
from lagoonwing_policy.models import (
    AttemptFailed,
    AttemptSucceeded,
    ClearSuspect,
    Dispatch,
    ModelWork,
    RefuseRequest,
    ReportSuspects,
    RequestProfile,
    StartAttempt,
)

STEP_S = 0.02
POISON = Fingerprint("killer")
MEMBER = MemberId("member")
MAX_CRASHES = 2


@dataclass
class ClusterSimulation:
    """Simulates entry hosts, endpoints and a replicated state with a lag per host."""

    seed: int
    hosts: int = 4
    lag_s: float = 0.1
    restart_s: float = 5.0
    now: float = 0.0
    crashes: list[EndpointId] = field(default_factory=list)
    done: set[RequestId] = field(default_factory=set)
    refused: dict[RequestId, Refusal] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        records = whole_cluster(self.seed, 12)
        self.record_by_id = {record.endpoint_id: record for record in records}
        settings = SchedulerSettings(limits=NoLimits())
        self.schedulers = [Scheduler(settings, seed=number) for number in range(self.hosts)]
        self.quarantines: dict[Fingerprint, Quarantine] = {}
        self.revision = 1
        self.down_until: dict[EndpointId, float] = {}
        self.attempts: dict[EndpointId, list[tuple[int, StartAttempt]]] = defaultdict(list)
        self._events: list[tuple[float, int, object]] = []
        self._event_number = 0
        for host, scheduler in enumerate(self.schedulers):
            scheduler.set_entry_hosts(self.hosts)
            self._publish_state(host)
        self._publish_endpoints()

    def schedule(self, delay: float, action) -> None:
        """Schedule an action after a delay."""
        self._event_number += 1
        heapq.heappush(self._events, (self.now + delay, self._event_number, action))

    def submit(self, host: int, name: str, fingerprint: Fingerprint | None = None) -> None:
        """Submit a request."""
        work = ModelWork(MODEL, 100, 0, 20, ())
        profile = RequestProfile(
            RequestId(name),
            MEMBER,
            fingerprint or Fingerprint(f"f-{name}"),
            work,
            self.now,
            self.now + 30.0,
            idempotent=True,
        )
        result = self.schedulers[host].submit(profile, self.now)
        if result.is_error():
            self.refused[profile.request_id] = result.error

    def run(self, seconds: float) -> None:
        """Run the simulation for `seconds`."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for host, scheduler in enumerate(self.schedulers):
                self._execute(host, scheduler.tick(self.now))

    def _execute(self, host: int, commands) -> None:
        for command in commands:
            match command:
                case StartAttempt():
                    self._start(host, command)
                case RefuseRequest(request_id, refusal):
                    self.refused[request_id] = refusal
                case ReportSuspects():
                    self.schedule(self.lag_s, lambda c=command, h=host: self._record(h, c))
                case ClearSuspect(fingerprint):
                    self.schedule(self.lag_s, lambda f=fingerprint: self._clear(f))

    def _start(self, host: int, command: StartAttempt) -> None:
        stage = command.route.stages[0]
        record = self.record_by_id[stage.endpoint_id]
        is_down = self.down_until.get(stage.endpoint_id, 0.0) > self.now
        if is_down or record.incarnation != stage.incarnation:
            self.schedule(0.01, lambda: self._fail(host, command, Dispatch.NO_BYTE_SENT))
            return
        self.attempts[stage.endpoint_id].append((host, command))
        is_poison = "killer" in command.request_id
        length = 0.3 if is_poison else self.rng.uniform(0.2, 1.0)
        self.schedule(length, lambda: self._finish(host, command, is_poison))

    def _finish(self, host: int, command: StartAttempt, is_poison: bool) -> None:
        endpoint_id = command.route.stages[0].endpoint_id
        if (host, command) not in self.attempts[endpoint_id]:
            return
        if is_poison:
            self._crash(endpoint_id)
            return
        self.attempts[endpoint_id].remove((host, command))
        self.done.add(command.request_id)
        scheduler = self.schedulers[host]
        self._execute(
            host,
            scheduler.attempt_ended(
                command.request_id, command.attempt, AttemptSucceeded(20), self.now
            ),
        )

    def _crash(self, endpoint_id: EndpointId) -> None:
        """Crash an endpoint with all its attempts; it restarts after `restart_s`."""
        self.crashes.append(endpoint_id)
        self.down_until[endpoint_id] = self.now + self.restart_s
        running = self.attempts.pop(endpoint_id)
        for host, command in running:
            self.schedule(0.005, lambda h=host, c=command: self._fail(h, c, Dispatch.MAY_HAVE_RUN))
        self.schedule(2.8, self._publish_endpoints)
        self.schedule(self.restart_s, lambda: self._restart(endpoint_id))

    def _restart(self, endpoint_id: EndpointId) -> None:
        record = self.record_by_id[endpoint_id]
        self.record_by_id[endpoint_id] = msgspec.structs.replace(
            record, incarnation=Incarnation(record.incarnation + 1)
        )
        self._publish_endpoints()

    def _fail(self, host: int, command: StartAttempt, dispatch: Dispatch) -> None:
        refusal = Refusal(ResultCode.ENDPOINT_LOST, "connection reset")
        failed = AttemptFailed(command.route.stages[0], dispatch, True, False, 0, refusal)
        scheduler = self.schedulers[host]
        self._execute(
            host, scheduler.attempt_ended(command.request_id, command.attempt, failed, self.now)
        )

    def _record(self, host: int, report: ReportSuspects) -> None:
        """Store a report as the replicated state does."""
        death = (report.endpoint_id, report.incarnation)
        for fingerprint in report.fingerprints:
            known = self.quarantines.get(fingerprint)
            deaths = known.deaths if known is not None else ()
            if death in deaths:
                continue
            deaths = (*deaths, death)
            is_quarantined = len(deaths) >= MAX_CRASHES
            state = QuarantineState.QUARANTINED if is_quarantined else QuarantineState.SUSPECT
            self._accept(fingerprint, state, deaths)
        scheduler = self.schedulers[host]
        self._execute(host, scheduler.suspects_recorded(report.fingerprints, self.now))

    def _clear(self, fingerprint: Fingerprint) -> None:
        known = self.quarantines.get(fingerprint)
        if known is not None and known.state is QuarantineState.SUSPECT:
            self._accept(fingerprint, QuarantineState.CLEARED, ())

    def _accept(self, fingerprint: Fingerprint, state: QuarantineState, deaths) -> None:
        self.revision += 1
        self.quarantines[fingerprint] = Quarantine(
            fingerprint=fingerprint,
            state=state,
            deaths=deaths,
            revision=Revision(self.revision),
        )
        for host in range(self.hosts):
            self.schedule(self.rng.uniform(0.0, self.lag_s), lambda h=host: self._publish_state(h))

    def _publish_state(self, host: int) -> None:
        """Pass the current replicated state to a host."""
        agreement = Agreement(
            agreement_id=AgreementId("a"),
            member_id=MEMBER,
            weight=1.0,
            max_concurrency=None,
            max_requests_per_s=None,
            max_tokens_per_s=None,
            state=EntityState.ACTIVE,
            revision=Revision(1),
        )
        member = Member(
            member_id=MEMBER,
            name="m",
            key_hashes=(),
            state=EntityState.ACTIVE,
            revision=Revision(1),
        )
        quarantines = list(self.quarantines.values())
        self.schedulers[host].set_agreements([agreement], [member], quarantines, [], [], self.now)

    def _publish_endpoints(self) -> None:
        """Pass the announced endpoints to all hosts."""
        up = [
            record
            for endpoint_id, record in self.record_by_id.items()
            if self.down_until.get(endpoint_id, 0.0) <= self.now + STEP_S
        ]
        for scheduler in self.schedulers:
            scheduler.set_endpoints(up, self.now)


@pytest.mark.parametrize("lag_s", [0.05, 0.5])
@pytest.mark.parametrize("seed", range(8))
def test_one_request_crashes_at_most_two_endpoints(seed: int, lag_s: float) -> None:
    """Resends under other ids crash at most two endpoints; all other requests complete."""
    simulation = ClusterSimulation(seed, lag_s=lag_s)
    sent = []
    poison_count = 0
    for number in range(1200):
        sent.append(f"r{number}")
        simulation.submit(number % simulation.hosts, sent[-1])
        if number % 40 == 20:
            poison_count += 1
            simulation.submit(
                simulation.rng.randrange(simulation.hosts), f"killer-{poison_count}", POISON
            )
        simulation.run(0.04)
    simulation.run(30.0)
    assert len(simulation.crashes) <= MAX_CRASHES
    assert set(sent) - simulation.done == set()
    assert simulation.quarantines[POISON].state is QuarantineState.QUARANTINED
    harmless = [item for key, item in simulation.quarantines.items() if key != POISON]
    assert all(item.state is QuarantineState.CLEARED for item in harmless)


@pytest.mark.parametrize("seed", range(8))
def test_simultaneous_copies_crash_at_most_two_endpoints(seed: int) -> None:
    """Copies that reach all hosts at the same time crash at most two endpoints."""
    simulation = ClusterSimulation(seed)
    for host in range(simulation.hosts):
        simulation.submit(host, f"killer-{host}", POISON)
    for number in range(100):
        simulation.submit(number % simulation.hosts, f"r{number}")
        simulation.run(0.05)
    simulation.run(30.0)
    assert len(simulation.crashes) <= MAX_CRASHES
    assert len(simulation.done) == 100
