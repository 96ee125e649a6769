"""Fixture for a scheduler with endpoints and members, on a manual clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import pytest
from expression import Result

from lagoonwing_core.clock import ManualClock
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import (
    AgreementId,
    EndpointId,
    FailureDomainId,
    Fingerprint,
    Incarnation,
    MemberId,
    ModelId,
    RequestId,
    Revision,
)
from lagoonwing_core.models import (
    Agreement,
    EndpointKind,
    EndpointRecord,
    EndpointState,
    EntityState,
    Member,
)
from lagoonwing_policy import Scheduler, SchedulerSettings
from lagoonwing_policy.models import (
    AllotmentGrant,
    AttemptCancelled,
    AttemptSucceeded,
    CapDimension,
    ModelWork,
    RefuseRequest,
    RequestProfile,
    SchedulerCommand,
    StartAttempt,
)

MODEL = ModelId("m")


@dataclass
class SchedulerHarness:
    """Drives a scheduler and records its commands.

    Attributes:
        running: Start commands of running requests, by request.
        refused: Refusals, by request.
        started: Names of all started requests, in order.
    """

    settings: SchedulerSettings = field(default_factory=SchedulerSettings)
    clock: ManualClock = field(default_factory=ManualClock)
    running: dict[str, StartAttempt] = field(default_factory=dict)
    refused: dict[str, Refusal] = field(default_factory=dict)
    started: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.scheduler = Scheduler(self.settings, seed=1)
        self._agreements: dict[str, Agreement] = {}

    @property
    def now(self) -> float:
        """Return the current time."""
        return self.clock.now()

    def add_endpoints(self, **slots_by_name: int) -> None:
        """Set endpoints that hold the whole model, by name with their slots."""
        records = [_endpoint(name, slots) for name, slots in slots_by_name.items()]
        self.scheduler.set_endpoints(records, self.now)

    def add_member(
        self,
        name: str,
        weight: float = 1.0,
        concurrency: int | None = None,
        requests: float | None = None,
        tokens: float | None = None,
    ) -> None:
        """Add a member with an agreement, or replace its agreement."""
        self._agreements[name] = Agreement(
            agreement_id=AgreementId(name),
            member_id=MemberId(name),
            weight=weight,
            max_concurrency=concurrency,
            max_requests_per_s=requests,
            max_tokens_per_s=tokens,
            state=EntityState.ACTIVE,
            revision=Revision(1),
        )
        self._apply_agreements()

    def remove_member(self, name: str) -> None:
        """End a member's agreement."""
        del self._agreements[name]
        self._apply_agreements()

    def grant(
        self, member: str, dimension: CapDimension, amount: float, lease_s: float = 1e6
    ) -> None:
        """Grant a part of a cap."""
        grant = AllotmentGrant(MemberId(member), dimension, amount, self.now + lease_s)
        self.scheduler.set_allotments([grant], self.now)

    def submit(
        self,
        name: str,
        member: str = "acme",
        prompt: int = 0,
        max_tokens: int = 20,
        deadline_s: float = 1000.0,
    ) -> Result[None, Refusal]:
        """Submit a model request."""
        profile = RequestProfile(
            RequestId(name),
            MemberId(member),
            Fingerprint("f-" + name),
            ModelWork(MODEL, prompt, 0, max_tokens),
            arrived=self.now,
            deadline=self.now + deadline_s,
            idempotent=True,
        )
        return self.scheduler.submit(profile, self.now)

    def tick(self, advance_s: float = 0.0) -> list[str]:
        """Advance the clock, run a tick and return the names of the requests that started."""
        self.clock.advance(advance_s)
        return self._execute(self.scheduler.tick(self.now))

    def run_for(self, seconds: float, step_s: float = 0.01) -> list[str]:
        """Tick repeatedly and return the names of the requests that started."""
        started: list[str] = []
        for _ in range(round(seconds / step_s)):
            started.extend(self.tick(step_s))
        return started

    def relay(self, name: str, tokens: int) -> None:
        """Relay tokens of a running request."""
        self.scheduler.tokens_relayed(RequestId(name), tokens, self.now)

    def finish(self, name: str, tokens: int = 10) -> list[str]:
        """Complete a running request and return the names of the requests that started."""
        command = self.running.pop(name)
        result = AttemptSucceeded(tokens)
        return self._execute(
            self.scheduler.attempt_ended(command.request_id, command.attempt, result, self.now)
        )

    def cancel(self, name: str, tokens: int = 0) -> list[str]:
        """Cancel a running request and return the names of the requests that started."""
        command = self.running.pop(name)
        result = AttemptCancelled(tokens)
        return self._execute(
            self.scheduler.attempt_ended(command.request_id, command.attempt, result, self.now)
        )

    def _execute(self, commands: Iterable[SchedulerCommand]) -> list[str]:
        """Record commands and return the names of the requests that started."""
        started: list[str] = []
        for command in commands:
            match command:
                case StartAttempt(request_id=request_id):
                    self.running[request_id] = command
                    started.append(request_id)
                case RefuseRequest(request_id, refusal):
                    self.refused[request_id] = refusal
                case _:
                    continue
        self.started.extend(started)
        return started

    def _apply_agreements(self) -> None:
        """Pass all agreements to the scheduler."""
        members = [
            Member(
                member_id=MemberId(name),
                name=name,
                key_hashes=(),
                state=EntityState.ACTIVE,
                revision=Revision(1),
            )
            for name in self._agreements
        ]
        self.scheduler.set_agreements(self._agreements.values(), members, [], [], [], self.now)


def _endpoint(name: str, slots: int) -> EndpointRecord:
    """Return the record of an endpoint that holds the whole model."""
    return EndpointRecord(
        endpoint_id=EndpointId(name),
        incarnation=Incarnation(1),
        sequence=1,
        state=EndpointState.SERVING,
        kind=EndpointKind.WHOLE_MODEL,
        address="127.0.0.1",
        port=1,
        failure_domain=FailureDomainId("a"),
        models=(MODEL,),
        slots=slots,
    )


@pytest.fixture
def make_harness() -> Callable[..., SchedulerHarness]:
    """Return the factory of scheduler harnesses."""
    return SchedulerHarness
