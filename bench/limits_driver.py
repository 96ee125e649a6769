"""Simulation of schedulers on a virtual clock, with endpoints modelled as slots and a speed."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable

from bench.limits_models import (
    ALLOTMENT_S,
    LEASE_S,
    LOAD_REPORT_S,
    MODEL,
    PREFILL_TOKENS_PER_S,
    PROGRESS_S,
    TICK_S,
    Engine,
    Job,
    MemberPlan,
    Running,
    make_agreements,
)
from lagoonwing_core.ids import (
    Fingerprint,
    HostId,
    MemberId,
    RequestId,
)
from lagoonwing_core.models import (
    EndpointRecord,
)
from lagoonwing_policy import Scheduler, SchedulerSettings
from lagoonwing_policy.models import (
    AllotmentGrant,
    AttemptSucceeded,
    CapDimension,
    EndpointLoad,
    ModelWork,
    Priority,
    RefuseRequest,
    RequestProfile,
    SchedulerCommand,
    StartAttempt,
)
from lagoonwing_policy.sharing import SharingSystem
from lagoonwing_policy.sharing.const import REPORT_INTERVAL_S


class Simulation:
    """Runs jobs through one scheduler per entry host."""

    def __init__(
        self,
        settings: SchedulerSettings,
        entries: int,
        endpoints: list[EndpointRecord],
        members: list[MemberPlan],
        seed: int,
        shares_work: bool = True,
    ) -> None:
        self._shares_work = shares_work
        self._hosts = [HostId(f"host-{number}") for number in range(entries)]
        self._sharing = [SharingSystem(host_id) for host_id in self._hosts]
        self.now = 0.0
        self.jobs: list[Job] = []
        self.cap_excess: Counter[str] = Counter()
        self._members = members
        self._cap_by_member = {plan.name: plan.concurrency for plan in members}
        self._in_flight: Counter[str] = Counter()
        self._engines = {record.endpoint_id: Engine(record) for record in endpoints}
        self._schedulers = [Scheduler(settings, seed + number) for number in range(entries)]
        self._running: dict[str, Running] = {}
        self._job_by_name: dict[str, Job] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        agreements, known = make_agreements(members)
        for scheduler in self._schedulers:
            scheduler.set_entry_hosts(entries)
            scheduler.set_endpoints(endpoints, 0.0)
            scheduler.set_agreements(agreements, known, [], [], [], 0.0)

    @property
    def slots(self) -> int:
        """Return the total number of slots."""
        return sum(engine.record.slots for engine in self._engines.values())

    def run(self, jobs: list[Job], until: float) -> None:
        """Run the simulation until the given time."""
        self.jobs = jobs
        by_name = iter(sorted(jobs, key=lambda job: job.arrived))
        for job in by_name:
            self._schedule(job.arrived, lambda job=job: self._arrive(job))  # type: ignore[misc]
        for number in range(len(self._schedulers)):
            self._repeat(TICK_S, TICK_S * number / 4, lambda number=number: self._tick(number))  # type: ignore[misc]
        self._repeat(LOAD_REPORT_S, 0.0, self._report_load)
        self._repeat(PROGRESS_S, 0.0, self._report_progress)
        self._repeat(ALLOTMENT_S, 0.0, self._allot)
        if self._shares_work:
            self._repeat(REPORT_INTERVAL_S, 0.0, self._share)
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def busy_share(self, since: float, until: float) -> float:
        """Return the slot utilization in a time window."""
        busy = 0.0
        for job in self.jobs:
            if job.first_token is None or job.started is None:
                continue
            end = until if job.finished is None else min(until, job.finished)
            begin = max(since, job.first_token - job.prompt / PREFILL_TOKENS_PER_S)
            busy += max(0.0, end - begin)
        return busy / (self.slots * (until - since))

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self._events, (time, next(self._order), action))

    def _repeat(self, period: float, first: float, action: Callable[[], None]) -> None:
        """Schedule an action periodically."""

        def act() -> None:
            action()
            self._schedule(self.now + period, act)

        self._schedule(first, act)

    def _arrive(self, job: Job) -> None:
        """Submit an arriving job to its entry host's scheduler."""
        profile = RequestProfile(
            RequestId(job.name),
            MemberId(job.member),
            Fingerprint(job.name),
            ModelWork(MODEL, job.prompt, 0, job.max_tokens),
            arrived=self.now,
            deadline=self.now + job.deadline_s,
            idempotent=True,
        )
        self._job_by_name[job.name] = job
        result = self._schedulers[job.entry].submit(profile, self.now)
        if result.is_error():
            job.refused = int(result.error.code)
            return
        self._execute(job.entry, self._schedulers[job.entry].tick(self.now))

    def _tick(self, number: int) -> None:
        """Run a scheduler tick of one entry host."""
        self._execute(number, self._schedulers[number].tick(self.now))

    def _execute(self, number: int, commands: list[SchedulerCommand]) -> None:
        """Execute the commands of a scheduler."""
        for command in commands:
            match command:
                case StartAttempt(request_id=request_id):
                    self._start(self._job_by_name[request_id], command)
                case RefuseRequest(request_id, refusal):
                    self._job_by_name[request_id].refused = int(refusal.code)
                case _:
                    continue

    def _start(self, job: Job, command: StartAttempt) -> None:
        """Start a job on an engine, or queue it there if no slot is free."""
        job.started = self.now
        self._count(job.member, 1)
        running = Running(job, command)
        self._running[job.name] = running
        engine = self._engines[command.route.stages[0].endpoint_id]
        if engine.running < engine.record.slots:
            self._run(engine, running)
        else:
            engine.queue[command.route.priority].append(running)

    def _run(self, engine: Engine, running: Running) -> None:
        """Run a job in a slot."""
        engine.running += 1
        job = running.job
        first = self.now + job.prompt / PREFILL_TOKENS_PER_S
        job.first_token = first
        self._schedule(
            first + job.output / engine.slot_speed, lambda: self._finish(engine, running)
        )

    def _finish(self, engine: Engine, running: Running) -> None:
        """Finish a job and run the next job in the engine's queue."""
        job = running.job
        job.finished = self.now
        self._count(job.member, -1)
        del self._running[job.name]
        engine.running -= 1
        for priority in Priority:
            if engine.queue[priority]:
                self._run(engine, engine.queue[priority].popleft())
                break
        scheduler = self._schedulers[job.entry]
        scheduler.tokens_relayed(RequestId(job.name), job.output - running.relayed, self.now)
        commands = scheduler.attempt_ended(
            RequestId(job.name), running.start.attempt, AttemptSucceeded(job.output), self.now
        )
        self._execute(job.entry, commands)

    def _count(self, member: str, change: int) -> None:
        """Track the in-flight requests of a member over all hosts and count cap violations."""
        self._in_flight[member] += change
        cap = self._cap_by_member[member]
        if cap is not None and change > 0 and self._in_flight[member] > cap:
            self.cap_excess[member] += 1

    def _report_progress(self) -> None:
        """Report newly generated tokens to the schedulers."""
        for running in list(self._running.values()):
            job = running.job
            if job.first_token is None or self.now <= job.first_token:
                continue
            engine = self._engines[running.start.route.stages[0].endpoint_id]
            tokens = min(job.output - 1, int((self.now - job.first_token) * engine.slot_speed))
            if tokens > running.relayed:
                self._schedulers[job.entry].tokens_relayed(
                    RequestId(job.name), tokens - running.relayed, self.now
                )
                running.relayed = tokens

    def _report_load(self) -> None:
        """Deliver load reports with a delay of half a period."""
        loads = [
            EndpointLoad(record_id, engine.running, engine.queued(), 0, self.now)
            for record_id, engine in self._engines.items()
        ]

        def deliver() -> None:
            for scheduler in self._schedulers:
                for load in loads:
                    scheduler.report_load(load)

        self._schedule(self.now + LOAD_REPORT_S / 2, deliver)

    def _share(self) -> None:
        """Exchange the work of the entry hosts and divide the capacity accordingly."""
        rows = [scheduler.member_work(self.now) for scheduler in self._schedulers]
        for sharing, scheduler, own in zip(self._sharing, self._schedulers, rows, strict=True):
            shares = sharing.shares(own, self._hosts, scheduler.slots_by_pool(), self.now)
            scheduler.set_shares(shares, self.now)
        for host_id, system, own in zip(self._hosts, self._sharing, rows, strict=True):
            for other in self._sharing:
                other.receive(host_id, system.make_report(own), self.now)

    def _allot(self) -> None:
        """Divide each cap over the entry hosts by demand; capacity in use is not taken away."""
        demands = [
            {demand.member_id: demand for demand in scheduler.demand(self.now)}
            for scheduler in self._schedulers
        ]
        for member, cap in self._cap_by_member.items():
            if cap is not None:
                self._allot_member(MemberId(member), cap, demands)

    def _allot_member(self, member_id: MemberId, cap: int, demands: list[dict]) -> None:  # type: ignore[type-arg]
        """Allot one member's cap; a grant never falls below use, so a lower one applies at once."""
        used = [int(known[member_id].used) if member_id in known else 0 for known in demands]
        wanted = [int(known[member_id].wanted) if member_id in known else 0 for known in demands]
        amounts = list(used)
        free = cap - sum(amounts)
        while free > 0:
            number = max(range(len(amounts)), key=lambda n: wanted[n] - amounts[n])
            if wanted[number] <= amounts[number]:
                # Idle capacity is spread evenly, so that a first request does not have to wait.
                number = min(range(len(amounts)), key=lambda n: amounts[n])
            amounts[number] += 1
            free -= 1
        for scheduler, amount in zip(self._schedulers, amounts, strict=True):
            grant = AllotmentGrant(
                member_id, CapDimension.CONCURRENCY, float(amount), self.now + LEASE_S
            )
            scheduler.set_allotments([grant], self.now)
