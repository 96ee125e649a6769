"""Seeded fault schedules: loss, duplication, reordering, pauses, partitions and restarts."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.membership_network import Network, make_record
from lagoonwing_core.ids import EndpointId, HostId, Incarnation
from lagoonwing_core.models import EndpointRecord, EndpointState
from lagoonwing_membership import HostState
from lagoonwing_membership._endpoints import EndpointTable

HOSTS = 4
ENDPOINTS = 5
MAX_SILENCE_S = 3.0
SEEDS = range(300)


@dataclass
class FakeEndpoint:
    """Simulated endpoint and the history of its announcements."""

    name: str
    incarnation: int = 1
    sequence: int = 0
    serving: bool = True
    next_at: float = 0.0
    sent_at: float = -100.0
    history: list[tuple[float, EndpointRecord]] = field(default_factory=list)

    def announce(self, network: Network, number: int, state: EndpointState) -> None:
        """Announce the endpoint to a host."""
        self.sequence += 1
        record = make_record(self.name, self.incarnation, self.sequence, state)
        network.announce(number, record)
        if state is EndpointState.SERVING:
            self.sent_at = network.now
            self.history.append((network.now, record))


class Schedule:
    """Runs one fault schedule and checks the invariants after each step."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        rng = self.rng
        self.network = Network(
            HOSTS,
            seed=seed,
            loss=rng.choice([0.0, 0.1, 0.3]),
            duplication=0.2,
            max_delay=rng.choice([0.01, 0.1, 0.4]),
        )
        self.endpoints = [FakeEndpoint(f"a{number}") for number in range(ENDPOINTS)]
        self.connected_since = [self.network.now] * HOSTS
        self.listed: dict[tuple[HostId, EndpointId], Incarnation] = {}
        self.isolated: set[int] = set()
        self.incarnation = 1000

    def run(self, seconds: float) -> None:
        """Run with random faults."""
        end = self.network.now + seconds
        while self.network.now < end:
            self._fault()
            self._step_endpoints()
            self._note_connected()
            self._replay()
            self.network.step()
            self.check()

    def settle(self, seconds: float) -> None:
        """Clear all faults and run until the hosts can converge."""
        network = self.network
        network.heal()
        network.loss = 0.0
        network.max_delay = 0.01
        for number in range(HOSTS):
            network.resume(number)
        end = network.now + seconds
        while network.now < end:
            self._step_endpoints(changes=False)
            network.step()
            self.check()

    def _fault(self) -> None:
        """Inject or clear a fault at random."""
        network, rng = self.network, self.rng
        if rng.random() > 0.04:
            return
        number = rng.randrange(HOSTS)
        match rng.randrange(5):
            case 0:
                network.partition(number)
                self.isolated.add(number)
            case 1:
                network.heal()
                self.isolated.clear()
            case 2:
                network.pause(number)
            case 3:
                network.resume(number)
            case 4:
                self.incarnation += 1000
                network.resume(number)
                network.start(number, self.incarnation)
                self.connected_since[number] = network.now
                host_id = network.addresses[number].host_id
                self.listed = {key: v for key, v in self.listed.items() if key[0] != host_id}

    def _note_connected(self) -> None:
        """Track since when each host has been connected to at least two others."""
        network = self.network
        joined = [
            number
            for number in range(HOSTS)
            if number not in self.isolated
            and network.addresses[number].host_id not in network.paused
        ]
        for number in range(HOSTS):
            if number not in joined or len(joined) < 3:
                self.connected_since[number] = network.now

    def _step_endpoints(self, changes: bool = True) -> None:
        """Let endpoints renew, leave, stop announcing and return."""
        network, rng = self.network, self.rng
        for endpoint in self.endpoints:
            if changes and rng.random() < 0.004:
                self._change(endpoint)
            if endpoint.serving and network.now >= endpoint.next_at:
                endpoint.next_at = network.now + 0.8
                endpoint.announce(network, rng.randrange(HOSTS), EndpointState.SERVING)

    def _change(self, endpoint: FakeEndpoint) -> None:
        """Leave, stop announcing, or return with a new incarnation."""
        if not endpoint.serving:
            endpoint.serving = True
            endpoint.incarnation += 1
            endpoint.sequence = 0
            return
        endpoint.serving = False
        if self.rng.random() < 0.5:
            endpoint.announce(self.network, self.rng.randrange(HOSTS), EndpointState.LEAVING)

    def _replay(self) -> None:
        """Replay an old announcement if a connected host knows a later one.

        If all hosts restarted or were cut off meanwhile, none can tell that it is stale.
        """
        network, rng = self.network, self.rng
        endpoint = rng.choice(self.endpoints)
        number = rng.randrange(HOSTS)
        if rng.random() > 0.2 or not self._is_settled(number):
            return
        known = max(
            self._known(other, endpoint.name) for other in range(HOSTS) if self._is_settled(other)
        )
        old = [
            record
            for sent, record in endpoint.history
            if network.now - sent > 4.0 and (record.incarnation, record.sequence) <= known
        ]
        if old:
            network.announce(number, rng.choice(old))

    def _is_settled(self, number: int) -> bool:
        """Return whether a host has been connected long enough to be synchronized."""
        return self.network.now - self.connected_since[number] >= 8.0

    def _known(self, number: int, name: str) -> tuple[int, int]:
        """Return the incarnation and sequence of an endpoint that a host knows."""
        entry = self.network.host(number)._endpoints.endpoint_by_id.get(EndpointId(name))
        return (0, 0) if entry is None else (entry.incarnation, entry.sequence)

    def check(self) -> None:
        """Check the expiry limit, and that no incarnation decreases."""
        network = self.network
        endpoint_by_name = {endpoint.name: endpoint for endpoint in self.endpoints}
        for number in range(HOSTS):
            host_id = network.addresses[number].host_id
            if host_id in network.paused:
                continue
            for record in network.host(number).endpoints(network.now):
                endpoint = endpoint_by_name[str(record.endpoint_id)]
                assert network.now - endpoint.sent_at <= MAX_SILENCE_S
                key = (host_id, record.endpoint_id)
                assert record.incarnation >= self.listed.get(key, 0)
                self.listed[key] = record.incarnation

    def check_converged(self) -> None:
        """Check that every host lists exactly the serving endpoints and all hosts as alive."""
        network = self.network
        expected = {(item.name, item.incarnation) for item in self.endpoints if item.serving}
        for number in range(HOSTS):
            records = network.host(number).endpoints(network.now)
            assert {(str(item.endpoint_id), int(item.incarnation)) for item in records} == expected
            views = network.host(number).hosts(network.now)
            assert [view.state for view in views] == [HostState.ALIVE] * HOSTS


@pytest.mark.parametrize("seed", SEEDS)
def test_schedule(seed: int) -> None:
    """No endpoint is listed beyond 3 s of silence, none reverts, and all hosts converge."""
    schedule = Schedule(seed)
    schedule.run(40.0)
    schedule.settle(8.0)
    schedule.check_converged()


UPDATE = st.tuples(
    st.integers(1, 3),
    st.integers(1, 4),
    st.sampled_from([EndpointState.SERVING, EndpointState.SERVING, EndpointState.LEAVING]),
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(UPDATE, min_size=1, max_size=8), st.randoms(use_true_random=False))
def test_merge_does_not_depend_on_order(
    updates: list[tuple[int, int, EndpointState]], rng: random.Random
) -> None:
    """The same records in any order, some duplicated, result in the same entry."""
    results = set()
    for _ in range(4):
        shuffled = updates + rng.sample(updates, len(updates) // 2)
        rng.shuffle(shuffled)
        table = EndpointTable(2.8)
        for incarnation, sequence, state in shuffled:
            table.merge_record(make_record("a", incarnation, sequence, state), 10.0, 10.0)
        entry = table.endpoint_by_id[EndpointId("a")]
        results.add((entry.incarnation, entry.left))
    assert len(results) == 1
