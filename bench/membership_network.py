"""Simulated network on a virtual clock with message loss, duplication, delay and partitions."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from lagoonwing_core.ids import EndpointId, FailureDomainId, HostId, Incarnation, ModelId
from lagoonwing_core.models import EndpointKind, EndpointRecord, EndpointState, HostAddress
from lagoonwing_membership import Membership, MembershipMessage, Send

STEP_S = 0.05
DECODER = msgspec.msgpack.Decoder(MembershipMessage)


def make_address(number: int) -> HostAddress:
    """Return the address of an entry host."""
    return HostAddress(
        host_id=HostId(f"e{number}"),
        address=f"127.0.0.{number + 1}",
        port=7000,
        failure_domain=FailureDomainId(f"d{number % 3}"),
    )


def make_record(
    name: str,
    incarnation: int = 1,
    sequence: int = 1,
    state: EndpointState = EndpointState.SERVING,
    port: int = 9000,
) -> EndpointRecord:
    """Return the record of an endpoint announcement."""
    return EndpointRecord(
        endpoint_id=EndpointId(name),
        incarnation=Incarnation(incarnation),
        sequence=sequence,
        state=state,
        kind=EndpointKind.WHOLE_MODEL,
        address="127.0.1.1",
        port=port,
        failure_domain=FailureDomainId("d0"),
        models=(ModelId("m"),),
        slots=4,
        tokens_per_s=100.0,
    )


@dataclass
class Network:
    """Memberships that exchange encoded messages.

    Attributes:
        loss: Probability that a message is lost.
        duplication: Probability that a message is duplicated.
        max_delay: Maximum delay of a message, in seconds.
        partitioned: Pairs of sender and receiver between which all messages are dropped.
        paused: Suspended hosts; messages to them stay in their socket buffers.
    """

    size: int
    seed: int = 0
    loss: float = 0.0
    duplication: float = 0.0
    max_delay: float = 0.01
    now: float = 100.0
    partitioned: set[tuple[HostId, HostId]] = field(default_factory=set)
    paused: set[HostId] = field(default_factory=set)
    largest_message_bytes: int = 0

    def __post_init__(self) -> None:
        """Start every host."""
        self.rng = random.Random(self.seed)
        self.addresses = [make_address(number) for number in range(self.size)]
        self.member_by_id: dict[HostId, Membership] = {}
        self._queue: list[tuple[float, int, HostId, HostId, bytes]] = []
        self._buffered: dict[HostId, list[tuple[HostId, bytes]]] = {}
        self._buffered_records: dict[HostId, list[EndpointRecord]] = {}
        self._order = 0
        self.sent_bytes: Counter[HostId] = Counter()
        self.sent_messages: Counter[HostId] = Counter()
        for number in range(self.size):
            self.start(number, incarnation=1000)

    def start(self, number: int, incarnation: int) -> Membership:
        """Start or restart a host."""
        address = self.addresses[number]
        member = Membership(
            address,
            Incarnation(incarnation),
            self.addresses,
            seed=self.seed * 100 + number + incarnation,
        )
        self.member_by_id[address.host_id] = member
        return member

    def host(self, number: int) -> Membership:
        """Return a host by number."""
        return self.member_by_id[self.addresses[number].host_id]

    def partition(self, *numbers: int) -> None:
        """Partition hosts from all others in both directions."""
        inside = {self.addresses[number].host_id for number in numbers}
        for one in self.member_by_id:
            for other in self.member_by_id:
                if (one in inside) != (other in inside):
                    self.partitioned.add((one, other))

    def heal(self) -> None:
        """Remove all partitions."""
        self.partitioned.clear()

    def pause(self, number: int) -> None:
        """Suspend a host's process; its sockets keep receiving."""
        self.paused.add(self.addresses[number].host_id)

    def resume(self, number: int) -> None:
        """Resume a host's process; it first reads the buffered messages."""
        host_id = self.addresses[number].host_id
        self.paused.discard(host_id)
        for sender, body in self._buffered.pop(host_id, []):
            self._deliver(sender, host_id, body)
        for record in self._buffered_records.pop(host_id, []):
            self.member_by_id[host_id].announce(record, self.now)

    def announce(self, number: int, record: EndpointRecord) -> None:
        """Send an announcement to a host; it is buffered if the host is suspended."""
        host_id = self.addresses[number].host_id
        if host_id in self.paused:
            self._buffered_records.setdefault(host_id, []).append(record)
        else:
            self.member_by_id[host_id].announce(record, self.now)

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.step()

    def step(self) -> None:
        """Advance the clock by one step: deliver messages, then tick all hosts."""
        self.now += STEP_S
        while self._queue and self._queue[0][0] <= self.now:
            _, _, sender, receiver, body = heapq.heappop(self._queue)
            if receiver in self.paused:
                self._buffered.setdefault(receiver, []).append((sender, body))
            else:
                self._deliver(sender, receiver, body)
        for host_id, member in list(self.member_by_id.items()):
            if host_id not in self.paused:
                self.send(host_id, member.tick(self.now))

    def _deliver(self, sender: HostId, receiver: HostId, body: bytes) -> None:
        member = self.member_by_id.get(receiver)
        if member is not None:
            self.send(receiver, member.receive(sender, DECODER.decode(body), self.now))

    def send(self, sender: HostId, sends: list[Send]) -> None:
        """Send messages, subject to partitions, loss, duplication and delay."""
        for send in sends:
            body = msgspec.msgpack.encode(send.message)
            self.largest_message_bytes = max(self.largest_message_bytes, len(body))
            self.sent_bytes[sender] += len(body)
            self.sent_messages[sender] += 1
            if (sender, send.to.host_id) in self.partitioned or self.rng.random() < self.loss:
                continue
            copies = 2 if self.rng.random() < self.duplication else 1
            for _ in range(copies):
                self._order += 1
                arrival = self.now + self.rng.uniform(0.0, self.max_delay)
                heapq.heappush(self._queue, (arrival, self._order, sender, send.to.host_id, body))

    def routable_endpoints(self, number: int) -> set[str]:
        """Return the endpoints to which a host would route new work."""
        return {str(record.endpoint_id) for record in self.host(number).endpoints(self.now)}
