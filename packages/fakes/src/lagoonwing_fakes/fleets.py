"""Fleets of mixed accelerators, and the performance figures of a large model on them."""

from __future__ import annotations

from lagoonwing_catalog.models import Accelerator, Engine
from lagoonwing_core.ids import AcceleratorKind, EndpointId, FailureDomainId, ModelId
from lagoonwing_placement import PlacementEndpoint


def make_engine() -> Engine:
    """Return performance figures of an 80-layer model on three kinds of accelerators."""
    return Engine(
        slots=96,
        kv_bytes_per_token=1_836_000,
        layer_count=80,
        layer_mb=1_750.0,
        step_ms=1.02,
        per_sequence_ms=0.014,
        context_ms_per_k=0.019,
        prefill_tokens_per_s=105_000.0,
        activation_bytes=91_800,
        link_mbps=22_000.0,
        steps_per_pass=3,
        load_s=14.0,
        loads_at_once=5,
        mean_prompt_tokens=774,
        mean_output_tokens=204,
        model_ids=(ModelId("m"),),
        accelerators=(
            Accelerator(AcceleratorKind("a100"), 72_000.0, 2.4, 3.2),
            Accelerator(AcceleratorKind("l40s"), 43_200.0, 5.6, 2.7),
            Accelerator(AcceleratorKind("l4"), 21_600.0, 16.0, 8.2),
        ),
    )


def make_fleet(
    engine: Engine, counts_by_domain: dict[str, tuple[int, int, int]]
) -> list[PlacementEndpoint]:
    """Return empty hosts, with the given count of each accelerator kind per domain."""
    return [
        PlacementEndpoint(
            EndpointId(f"{domain}-{accelerator.kind}-{number}"),
            FailureDomainId(domain),
            accelerator,
        )
        for domain, counts in counts_by_domain.items()
        for accelerator, count in zip(engine.accelerators, counts, strict=True)
        for number in range(count)
    ]
