"""Benchmark of placement and path search by cluster size: `python -m bench.placement_bench`."""

from __future__ import annotations

import random
import time
from dataclasses import replace

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_core.ids import EndpointId, FailureDomainId
from lagoonwing_fakes.fleets import make_engine
from lagoonwing_placement import (
    Holder,
    PathFinder,
    PlacementEndpoint,
    RequestSize,
    choose_layout,
    due_orders,
    group_holders,
    plan,
)

ENGINE = make_engine()
SIZES = (33, 86, 150, 300)
PATHS = 200
# Indexes of accelerator kinds: one, three and six of ten endpoints.
KINDS = (0, 1, 1, 1, 2, 2, 2, 2, 2, 2)


def make_hosts(count: int, domains: int) -> list[PlacementEndpoint]:
    """Return endpoints without layers, spread evenly over failure domains."""
    return [
        PlacementEndpoint(
            EndpointId(f"e-{number}"),
            FailureDomainId(f"d-{number % domains}"),
            ENGINE.accelerators[KINDS[number // domains % len(KINDS)]],
        )
        for number in range(count)
    ]


def main() -> None:
    """Print a table row for each size."""
    print("| endpoints | first plan ms | repair ms | path us |")
    print("|---|---|---|---|")
    for count in SIZES:
        hosts = make_hosts(count, 3)
        started_at = time.perf_counter()
        choose_layout(ENGINE, hosts)
        plan_ms = (time.perf_counter() - started_at) * 1_000
        layers_by_id = plan(ENGINE, hosts)
        placed = [replace(host, held=layers_by_id[host.endpoint_id]) for host in hosts]
        started_at = time.perf_counter()
        due_orders(ENGINE, placed)
        repair_ms = (time.perf_counter() - started_at) * 1_000
        holders = [
            Holder(
                host.endpoint_id,
                host.failure_domain,
                host.accelerator,
                layers_by_id[host.endpoint_id],
                ENGINE.slots,
            )
            for host in placed
        ]
        loads = {host.endpoint_id: EndpointLoad(3, 50_000, 4) for host in holders}
        finder = PathFinder(ENGINE, loads, random.Random(1), FailureDomainId("d-0"))
        groups = group_holders(ENGINE, holders)
        started_at = time.perf_counter()
        for _ in range(PATHS):
            finder.find(groups, RequestSize(800, 200))
        path_us = (time.perf_counter() - started_at) / PATHS * 1e6
        print(f"| {count} | {plan_ms:.1f} | {repair_ms:.2f} | {path_us:.0f} |", flush=True)


if __name__ == "__main__":
    main()
