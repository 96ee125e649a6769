"""Suspicions of many gateways that tell each other, on a simulated clock without a network."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import cast

import pytest

from lagoonwing_catalog.messages import LoadSummary
from lagoonwing_catalog.models import Accelerator, EndpointRecord, EndpointState, LayerRange
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import AcceleratorKind, EndpointId, FailureDomainId, ServiceId
from lagoonwing_gateway._directory import EndpointDirectory
from lagoonwing_gateway._follower import CatalogFollower
from lagoonwing_gateway._retry_budget import RetryBudget
from lagoonwing_gateway._suspicions import SuspicionTracker
from lagoonwing_gateway.models import FailureEvidence, RequestFailure
from lagoonwing_gateway.settings import RetryBudgetSettings
from lagoonwing_placement import HolderGroup

STEP_S = 0.01
# Age that the load summary reaches before the next one.
SUMMARY_INTERVAL_S = 0.5
STREAMS_PER_S = 1.8
DOMAIN_GATEWAYS = 15
MAX_ATTEMPTS = 2
# Gateways that share the retry budget; those of one domain meet its failing entries.
ALL_GATEWAYS = 106
SERVICE = ServiceId("engines")
ACCELERATOR = Accelerator(AcceleratorKind("small"), 6.0, 1.0, 1.0)


@dataclass
class _Follower:
    """Stands in for the catalog follower of a gateway."""

    endpoint_by_id: dict[EndpointId, EndpointRecord]
    summary: LoadSummary = field(default_factory=lambda: LoadSummary({}))

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Keep the listener for the only change of the catalog."""
        self.on_change = listener

    def load_summary(self) -> LoadSummary:
        """Return the last load summary."""
        return self.summary


class _Gateway:
    """Sends streams to entries that it may use, those of its own domain first."""

    def __init__(
        self, clock: ManualClock, rng: random.Random, records: dict[EndpointId, EndpointRecord]
    ) -> None:
        self.follower = _Follower(records)
        self.suspicions = SuspicionTracker(clock)
        self.directory = EndpointDirectory(
            cast(CatalogFollower, self.follower), self.suspicions, clock
        )
        self.follower.on_change()
        self.budget = RetryBudget(RetryBudgetSettings(0.2, 40.0, 10.0), clock)
        self._rng = rng

    def send(self, groups: tuple[HolderGroup, ...], failure_share: dict[EndpointId, float]) -> int:
        """Send one stream; return the number of attempts, 0 if none served it."""
        failures: list[RequestFailure] = []
        self.budget.record_first_send(SERVICE)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            if failures and not self.budget.try_acquire(SERVICE, ALL_GATEWAYS):
                break
            endpoint_id = self._choose(groups, failures)
            if self._rng.random() >= failure_share.get(endpoint_id, 0.0):
                self.suspicions.record_progress([endpoint_id])
                self.suspicions.record_served([endpoint_id])
                self.suspicions.record_served_elsewhere(failures)
                return attempt
            failure = RequestFailure(endpoint_id, "status 500", FailureEvidence.RESPONSE)
            self.suspicions.record_failed_request(endpoint_id, failure.reason, failure.evidence)
            failures.append(failure)
        return 0

    def _choose(
        self, groups: tuple[HolderGroup, ...], failures: list[RequestFailure]
    ) -> EndpointId:
        """Choose an entry as a stream does."""
        excluded = [failure.endpoint_id for failure in failures]
        is_usable = self.directory.usability_check(groups, excluded)
        checks = self.directory.entry_checks(SERVICE, failures, lambda endpoint_id: True)
        for check in checks:
            for group in groups:
                ids = [
                    endpoint_id
                    for endpoint_id in group.endpoint_ids
                    if is_usable(endpoint_id) and check(endpoint_id)
                ]
                if ids:
                    return self._rng.choice(ids)
        raise AssertionError("no endpoint is left")


class _Fleet:
    """Gateways of one domain that hear of each other's suspicions."""

    def __init__(self, gateways: int, domain_sizes: tuple[int, ...], seed: int) -> None:
        self.clock = ManualClock(100.0)
        self.groups = tuple(
            HolderGroup(
                FailureDomainId(f"d-{domain}"),
                ACCELERATOR,
                LayerRange(0, 8),
                8,
                1_000.0,
                tuple(EndpointId(f"e-{domain}-{number}") for number in range(size)),
            )
            for domain, size in enumerate(domain_sizes)
        )
        self.attempts: list[int] = []
        self._rng = random.Random(seed)
        records = _records(self.groups)
        self.gateways = [_Gateway(self.clock, self._rng, records) for _ in range(gateways)]

    def run(self, seconds: float, failure_share: dict[EndpointId, float]) -> None:
        """Send streams at a steady rate."""
        summary_at = self.clock.now()
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.advance(STEP_S)
            if self.clock.now() >= summary_at:
                summary_at += SUMMARY_INTERVAL_S
                self._exchange_suspicions()
            for gateway in self.gateways:
                if self._rng.random() < STREAMS_PER_S * STEP_S:
                    self.attempts.append(gateway.send(self.groups, failure_share))

    def _exchange_suspicions(self) -> None:
        """Tell all gateways what any of them suspects."""
        reports = [gateway.directory.reported_suspects() for gateway in self.gateways]
        suspects = tuple({endpoint_id for report in reports for endpoint_id in report})
        for gateway in self.gateways:
            gateway.follower.summary = LoadSummary({}, suspects)

    def avoided_share(self) -> float:
        """Return the share of pairs of gateway and endpoint that are not used now."""
        pairs = [
            gateway.directory.usability_check(self.groups, ())(endpoint_id)
            for gateway in self.gateways
            for group in self.groups
            for endpoint_id in group.endpoint_ids
        ]
        return 1 - sum(pairs) / len(pairs)


def _records(groups: Iterable[HolderGroup]) -> dict[EndpointId, EndpointRecord]:
    """Return the catalog records of all endpoints."""
    ids = [(group, endpoint_id) for group in groups for endpoint_id in group.endpoint_ids]
    return {
        endpoint_id: EndpointRecord(
            endpoint_id,
            SERVICE,
            "127.0.0.1",
            port,
            group.failure_domain,
            group.slots,
            EndpointState.READY,
            started_ms=1,
            sequence=1,
            layers=group.layers,
        )
        for port, (group, endpoint_id) in enumerate(ids, start=1)
    }


# Guards against streams of one failure domain that end because most of its entries fail.
@pytest.mark.parametrize(("share", "lost_share"), [(1.0, 0.05), (0.4, 0.08)])
def test_streams_beside_a_failing_domain_are_served(share: float, lost_share: float) -> None:
    """Nine of its twelve entries fail for ten seconds; each gateway may retry about two streams."""
    fleet = _Fleet(DOMAIN_GATEWAYS, (12, 12, 12), seed=1)
    fleet.run(10.0, {})
    fleet.attempts.clear()
    failing = dict.fromkeys(fleet.groups[0].endpoint_ids[:9], share)
    fleet.run(10.0, failing)
    lost = fleet.attempts.count(0)
    print(f"{lost} of {len(fleet.attempts)} streams lost, {fleet.attempts.count(2)} sent twice")
    assert lost <= lost_share * len(fleet.attempts)


# Guards against suspicions of single gateways that take sound endpoints from all others.
@pytest.mark.parametrize("share", [0.01, 0.03])
def test_few_failures_take_few_endpoints_from_a_large_fleet(share: float) -> None:
    """All endpoints fail few of their requests; 106 gateways share their suspicions."""
    fleet = _Fleet(106, (86,), seed=2)
    failing = dict.fromkeys(fleet.groups[0].endpoint_ids, share)
    shares = []
    for _ in range(10):
        fleet.run(2.0, failing)
        shares.append(fleet.avoided_share())
    print(f"avoided: {max(shares):.3f} at most, {sum(shares) / len(shares):.3f} on average")
    assert max(shares) <= 0.1


# Guards against entries that stay suspected after they have recovered.
def test_entries_are_used_again_soon_after_they_recover() -> None:
    """All of them are used within the longest suspicion."""
    fleet = _Fleet(DOMAIN_GATEWAYS, (12, 12, 12), seed=3)
    fleet.run(10.0, dict.fromkeys(fleet.groups[0].endpoint_ids[:9], 1.0))
    fleet.run(9.0, {})
    assert fleet.avoided_share() == 0.0


# Guards against a gateway that takes sound endpoints from all others because its own network fails.
def test_gateway_that_sees_most_endpoints_fail_tells_no_other() -> None:
    """Its suspicions hold for itself only; a third of the endpoints is reported."""
    fleet = _Fleet(1, (12,), seed=4)
    (gateway,) = fleet.gateways
    _fail(fleet, gateway, fleet.groups[0].endpoint_ids[:4])
    assert len(gateway.directory.reported_suspects()) == 4
    _fail(fleet, gateway, fleet.groups[0].endpoint_ids[4:5])
    assert len(gateway.suspicions.suspected()) == 5
    assert gateway.directory.reported_suspects() == ()


def _fail(fleet: _Fleet, gateway: _Gateway, endpoint_ids: Iterable[EndpointId]) -> None:
    """Let endpoints fail until they are suspected."""
    for _ in range(2):
        for endpoint_id in endpoint_ids:
            failure = RequestFailure(endpoint_id, "status 500", FailureEvidence.RESPONSE)
            gateway.suspicions.record_failed_request(endpoint_id, failure.reason, failure.evidence)
            gateway.suspicions.record_served_elsewhere([failure])
        fleet.clock.advance(0.31)
