"""Benchmark of membership traffic and processor time against endpoints and hosts.

Run `python -m bench.membership_bench`; it writes bench/results/membership.md.
"""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from bench.cell_network import PACKET_OVERHEAD_BYTES, STREAM_OVERHEAD_BYTES, CellNetwork
from bench.membership_network import Network, record_of
from lagoonwing_core.models import EndpointState
from lagoonwing_membership import HostState

RESULTS = Path(__file__).parent / "results" / "membership.md"
BUDGET_BYTES_PER_S = 13_000
ENDPOINT_COUNTS = (0, 10, 30, 68, 136, 272)
HOST_COUNTS = (2, 3, 4, 6, 8)
CELL_HOSTS = 4
# Servers per node at the target size, times the nodes of a cell.
CELL_ENDPOINTS = 68
RENEW_S = 0.8
WARM_UP_S = 5.0
MEASURED_S = 20.0
SEEDS = (1, 2, 3)
CELL_COUNTS = (4, 8, 16, 32, 64)
CELL_MODELS = 4
CELL_ROUNDS = 12
# 700 nodes in cells of 4.
PLANNED_CELLS = 175


@dataclass(frozen=True, slots=True)
class Traffic:
    """Traffic and processor time of one host per second."""

    messages: float
    payload_bytes: float
    wire_bytes: float
    cpu_share: float
    largest: int


def main() -> None:
    """Run the benchmark and write the page."""
    lines = [
        "# Membership\n\nMade by `python -m bench.membership_bench`: hosts on a paused clock, each"
        f" endpoint renews every {RENEW_S} s to one host in turn. Sent by one host, of the"
        " busiest; it receives as much. On the wire: each message"
        f" {STREAM_OVERHEAD_BYTES} bytes of frame and {PACKET_OVERHEAD_BYTES} of packet more."
        f" Budget: {BUDGET_BYTES_PER_S} bytes a second for all control traffic of a node.\n",
        f"## Endpoints of a cell of {CELL_HOSTS} hosts\n",
        *_table("endpoints", [(count, CELL_HOSTS, count) for count in ENDPOINT_COUNTS]),
        f"## Hosts of a cell with {CELL_ENDPOINTS} endpoints\n",
        *_table("hosts", [(count, count, CELL_ENDPOINTS) for count in HOST_COUNTS]),
        "## Cells\n",
        *_cell_table(),
        "## Recovery\n",
        *_recovery(),
    ]
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text("\n".join(lines) + "\n")
    print(RESULTS.read_text())


def _table(label: str, plans: list[tuple[int, int, int]]) -> list[str]:
    """Return a table and its least-squares fit."""
    lines = [
        f"| {label} | messages/s | payload, bytes/s | on the wire, bytes/s | share of budget"
        " | core, % | largest message, bytes |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    points: list[tuple[int, float]] = []
    for value, hosts, endpoints in plans:
        traffic = _traffic(hosts, endpoints)
        points.append((value, traffic.wire_bytes))
        lines.append(
            f"| {value} | {traffic.messages:.1f} | {traffic.payload_bytes:.0f}"
            f" | {traffic.wire_bytes:.0f} | {traffic.wire_bytes / BUDGET_BYTES_PER_S:.2f}"
            f" | {traffic.cpu_share * 100:.2f} | {traffic.largest} |"
        )
    slope = statistics.linear_regression(*zip(*points, strict=True))
    lines.append(
        f"\nLeast squares: {slope.intercept:.0f} bytes/s and {slope.slope:.1f} more for each.\n"
    )
    return lines


def _traffic(hosts: int, endpoints: int) -> Traffic:
    """Return the traffic of the busiest host."""
    network = Network(hosts, seed=1)
    sequences = [1] * endpoints
    due = [network.now + RENEW_S * number / max(1, endpoints) for number in range(endpoints)]

    def run(seconds: float) -> None:
        end = network.now + seconds
        while network.now < end:
            for number in range(endpoints):
                if network.now < due[number]:
                    continue
                due[number] += RENEW_S
                sequences[number] += 1
                record = record_of(f"endpoint-{number:05}", sequence=sequences[number])
                network.announce((number + sequences[number]) % hosts, record)
            network.step()

    run(WARM_UP_S)
    network.sent_bytes.clear()
    network.sent_messages.clear()
    start = time.process_time()
    run(MEASURED_S)
    cpu = (time.process_time() - start) / MEASURED_S / hosts
    busiest = max(network.sent_bytes, key=lambda host_id: network.sent_bytes[host_id])
    payload = network.sent_bytes[busiest] / MEASURED_S
    messages = network.sent_messages[busiest] / MEASURED_S
    overhead = messages * (STREAM_OVERHEAD_BYTES + PACKET_OVERHEAD_BYTES)
    return Traffic(messages, payload, payload + overhead, cpu, network.largest)


def _cell_table() -> list[str]:
    """Return the table of traffic between cells and its least-squares fit."""
    lines = [
        f"Cells of two hosts, both representatives, {CELL_MODELS} models; every free slot count"
        " changes every 10 s. Sent and received by the busiest host for summaries alone, on the"
        " wire. Known: least share of the other cells that any host knows at the end.\n",
        "| cells | bytes/s | share of budget | known | oldest summary, s |",
        "| --- | --- | --- | --- | --- |",
    ]
    points: list[tuple[int, float]] = []
    for count in CELL_COUNTS:
        network = CellNetwork(count, 2, CELL_MODELS, CELL_MODELS)
        rng = random.Random(1)
        for number in range(CELL_ROUNDS):
            if number == CELL_ROUNDS // 2:
                network.cell_bytes.clear()
            _change_use(network, rng)
            network.run(10.0)
        busiest = max(network.cell_bytes.values()) / (10.0 * CELL_ROUNDS / 2)
        known = min(len(network.others(cell, 0)) for cell in range(count)) / (count - 1)
        oldest = max(
            summary.age_ms / 1000 for cell in range(count) for summary in network.others(cell, 0)
        )
        points.append((count, busiest))
        share = busiest / BUDGET_BYTES_PER_S
        lines.append(f"| {count} | {busiest:.0f} | {share:.2f} | {known:.2f} | {oldest:.0f} |")
    slope = statistics.linear_regression(*zip(*points, strict=True))
    at_size = slope.intercept + slope.slope * PLANNED_CELLS
    lines.append(
        f"\nLeast squares: {slope.intercept:.0f} bytes/s and {slope.slope:.1f} more for each;"
        f" at {PLANNED_CELLS} cells, by that slope, {at_size:.0f}.\n"
    )
    return lines


def _change_use(network: CellNetwork, rng: random.Random) -> None:
    """Change the number of running requests on every endpoint."""
    for members in network.members:
        for member in members:
            records = member.endpoints(network.now)
            member.set_running(
                {record.endpoint_id: rng.randrange(record.slots) for record in records}
            )


def _recovery() -> list[str]:
    """Return the propagation times of changes, on the virtual clock."""
    rows = {
        "new endpoint known by all hosts": [_join_s(seed) for seed in SEEDS],
        "leave known by all hosts": [_leave_s(seed) for seed in SEEDS],
        "silent endpoint off all hosts, from its last announcement": [
            _expiry_s(seed) for seed in SEEDS
        ],
        "stopped host held for lost by all others": [_loss_s(seed) for seed in SEEDS],
    }
    lines = ["| what | seconds, by seed |", "| --- | --- |"]
    for name, times in rows.items():
        lines.append(f"| {name} | {', '.join(f'{seconds:.2f}' for seconds in times)} |")
    return lines


def _joined_network(seed: int) -> Network:
    """Return a network whose hosts know each other."""
    network = Network(CELL_HOSTS, seed=seed)
    network.run(2.0)
    return network


def _seconds_until(network: Network, holds: Callable[[], bool]) -> float:
    """Return the time until a condition holds, in seconds."""
    start = network.now
    while not holds():
        network.step()
    return network.now - start


def _all_hosts_route_to(network: Network, names: set[str]) -> bool:
    """Return whether every host would route work to exactly these endpoints."""
    return all(network.names(number) == names for number in range(network.size))


def _join_s(seed: int) -> float:
    """Return the time until all hosts know a new endpoint."""
    network = _joined_network(seed)
    network.announce(0, record_of("a"))
    return _seconds_until(network, lambda: _all_hosts_route_to(network, {"a"}))


def _leave_s(seed: int) -> float:
    """Return the time until all hosts know that an endpoint leaves."""
    network = _joined_network(seed)
    network.announce(0, record_of("a"))
    network.run(1.0)
    network.announce(1, record_of("a", sequence=2, state=EndpointState.LEAVING))
    return _seconds_until(network, lambda: _all_hosts_route_to(network, set()))


def _expiry_s(seed: int) -> float:
    """Return the time until all hosts have removed a silent endpoint."""
    network = _joined_network(seed)
    network.announce(0, record_of("a"))
    start = network.now
    network.run(0.5)
    _seconds_until(network, lambda: _all_hosts_route_to(network, set()))
    return network.now - start


def _loss_s(seed: int) -> float:
    """Return the time until all others consider a paused host lost."""
    network = _joined_network(seed)
    network.pause(3)
    lost = network.addresses[3].host_id

    def is_lost() -> bool:
        views = [network.host(number).hosts(network.now) for number in range(3)]
        return all(
            view.state is HostState.LOST
            for hosts in views
            for view in hosts
            if view.address.host_id == lost
        )

    return _seconds_until(network, is_lost)


if __name__ == "__main__":
    main()
