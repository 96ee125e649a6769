"""Cost of placement and paths by endpoints: `python -m bench.placement_bench`."""

from __future__ import annotations

import random
import time
from dataclasses import replace

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_catalog.models import Accelerator, Engine
from lagoonwing_core.ids import AcceleratorKind, EndpointId, FailureDomainId
from lagoonwing_placement import (
    Holder,
    Host,
    PathFinder,
    Work,
    choose_shape,
    due_orders,
    group_holders,
    plan,
)

ENGINE = Engine(
    slots=96,
    kv_bytes_per_token=1_836_000,
    layer_count=80,
    layer_mb=1_750.0,
    step_ms=1.02,
    per_sequence_ms=0.014,
    context_ms_per_k=0.019,
    read_tokens_per_s=105_000.0,
    activation_bytes=91_800,
    pipe_mbps=22_000.0,
    steps_per_pass=3,
    load_s=14.0,
    loads_at_once=5,
    usual_prompt_tokens=774,
    usual_answer_tokens=204,
    model_ids=(),
    accelerators=(
        Accelerator(AcceleratorKind("a100"), 72_000.0, 2.4, 3.2),
        Accelerator(AcceleratorKind("l40s"), 43_200.0, 5.6, 2.7),
        Accelerator(AcceleratorKind("l4"), 21_600.0, 16.0, 8.2),
    ),
)
SIZES = (33, 86, 150, 300)
PATHS = 200
# One endpoint of the first kind, three of the second and six of the third in ten.
KINDS = (0, 1, 1, 1, 2, 2, 2, 2, 2, 2)


def make_hosts(count: int, domains: int) -> list[Host]:
    """Return empty endpoints, spread evenly over failure domains."""
    return [
        Host(
            EndpointId(f"e-{number}"),
            FailureDomainId(f"d-{number % domains}"),
            ENGINE.accelerators[KINDS[number // domains % len(KINDS)]],
        )
        for number in range(count)
    ]


def main() -> None:
    """Print a row for each size."""
    print("| endpoints | first plan ms | repair ms | path us |")
    print("|---|---|---|---|")
    for count in SIZES:
        hosts = make_hosts(count, 3)
        began = time.perf_counter()
        choose_shape(ENGINE, hosts)
        plan_ms = (time.perf_counter() - began) * 1_000
        layers_by_id = plan(ENGINE, hosts)
        placed = [replace(one, held=layers_by_id[one.endpoint_id]) for one in hosts]
        began = time.perf_counter()
        due_orders(ENGINE, placed)
        repair_ms = (time.perf_counter() - began) * 1_000
        holders = [
            Holder(
                one.endpoint_id,
                one.failure_domain,
                one.accelerator,
                layers_by_id[one.endpoint_id],
                ENGINE.slots,
            )
            for one in placed
        ]
        loads = {one.endpoint_id: EndpointLoad(3, 50_000, 4) for one in holders}
        finder = PathFinder(ENGINE, loads, random.Random(1), FailureDomainId("d-0"))
        groups = group_holders(ENGINE, holders)
        began = time.perf_counter()
        for _ in range(PATHS):
            finder.find(groups, Work(800, 200))
        path_us = (time.perf_counter() - began) / PATHS * 1e6
        print(f"| {count} | {plan_ms:.1f} | {repair_ms:.2f} | {path_us:.0f} |", flush=True)


if __name__ == "__main__":
    main()
