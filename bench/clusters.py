"""Seeded random clusters of endpoints with mixed speeds."""

from __future__ import annotations

import random

from bench.stage_engines import MODEL
from lagoonwing_core.ids import EndpointId, FailureDomainId, Incarnation
from lagoonwing_core.models import EndpointKind, EndpointRecord, EndpointState, LayerRange

LAYERS = 32
SPEEDS_TOKENS_PER_S = (60.0, 120.0, 240.0)
DOMAINS = 3


def make_record(
    number: int, rng: random.Random, layers: LayerRange | None = None, speed: float | None = None
) -> EndpointRecord:
    """Return an endpoint with a random slot count and, unless given, a random speed."""
    slots = rng.choice((4, 8))
    return EndpointRecord(
        endpoint_id=EndpointId(f"endpoint-{number:04}"),
        incarnation=Incarnation(1),
        sequence=1,
        state=EndpointState.SERVING,
        kind=EndpointKind.STAGE if layers else EndpointKind.WHOLE_MODEL,
        address="127.0.0.1",
        port=1,
        failure_domain=FailureDomainId(f"domain-{number % DOMAINS}"),
        models=(MODEL,),
        layers=layers,
        layer_count=LAYERS if layers else 0,
        slots=slots,
        tokens_per_s=speed or rng.choice(SPEEDS_TOKENS_PER_S),
    )


def staged_cluster(seed: int, endpoints: int = 30) -> list[EndpointRecord]:
    """Return stages from two or three layer splits of the model that share a boundary.

    The first endpoints form a complete pipeline, so that the cluster can serve requests.
    """
    rng = random.Random(seed)
    common = rng.choice((8, 16, 24))
    splits = []
    for _ in range(rng.choice((2, 3))):
        others = rng.sample([cut for cut in (4, 8, 12, 16, 20, 24, 28) if cut != common], 2)
        cuts = sorted({0, common, *others[: rng.choice((1, 2))], LAYERS})
        splits.append([LayerRange(a, b) for a, b in zip(cuts, cuts[1:], strict=False)])
    ranges = list(splits[0])
    while len(ranges) < endpoints:
        ranges.append(rng.choice(rng.choice(splits)))
    return [make_record(number, rng, layers) for number, layers in enumerate(ranges)]


def whole_cluster(seed: int, endpoints: int = 30) -> list[EndpointRecord]:
    """Return endpoints that each hold the whole model."""
    rng = random.Random(seed)
    return [make_record(number, rng) for number in range(endpoints)]
