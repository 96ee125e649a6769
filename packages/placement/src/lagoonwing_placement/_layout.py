"""The layout that repair keeps to: remembered by the leader, or inferred from the held layers."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from lagoonwing_catalog.models import Accelerator, Engine
from lagoonwing_core.ids import AcceleratorKind
from lagoonwing_placement._capacity import max_layers
from lagoonwing_placement.models import PartitionLayout, PlacementEndpoint


def keep_layout(
    engine: Engine, endpoints: Sequence[PlacementEndpoint], known: PartitionLayout
) -> PartitionLayout | None:
    """Return the known layout with the kinds that joined since, if all ranges still fit it."""
    if known.boundaries[-1] != engine.layer_count:
        return None
    boundaries = set(known.boundaries)
    targets = [endpoint.target for endpoint in endpoints if endpoint.target is not None]
    if not all({target.first, target.end} <= boundaries for target in targets):
        return None
    joined = {
        endpoint.accelerator.kind: _max_blocks(engine, endpoint.accelerator, known.boundaries)
        for endpoint in endpoints
        if endpoint.accelerator.kind not in known.blocks_by_kind
    }
    if not joined:
        return known
    return PartitionLayout(known.boundaries, {**known.blocks_by_kind, **joined})


def infer_layout(engine: Engine, endpoints: Iterable[PlacementEndpoint]) -> PartitionLayout | None:
    """Infer the layout from the layers currently held, if any are.

    This keeps the layout of the first plan across leader changes. Of several ranges of a kind that
    are equally common, the largest counts: smaller ones may still grow.
    """
    counts_by_kind: dict[AcceleratorKind, Counter[int]] = defaultdict(Counter)
    width = 0
    accelerator_by_kind: dict[AcceleratorKind, Accelerator] = {}
    for endpoint in endpoints:
        accelerator_by_kind[endpoint.accelerator.kind] = endpoint.accelerator
        if endpoint.target is not None:
            width = math.gcd(width, endpoint.target.first, endpoint.target.end)
            counts_by_kind[endpoint.accelerator.kind][endpoint.target.count] += 1
    if width == 0 or engine.layer_count % width != 0:
        return None
    boundaries = tuple(range(0, engine.layer_count + 1, width))
    blocks_by_kind = {
        kind: _most_common_count(counts_by_kind[kind]) // width
        or _max_blocks(engine, accelerator, boundaries)
        for kind, accelerator in accelerator_by_kind.items()
    }
    return PartitionLayout(boundaries, blocks_by_kind)


def _most_common_count(counts: Counter[int]) -> int:
    """Return the most common number of layers, the largest of several; 0 if there is none."""
    return max(counts, key=lambda count: (counts[count], count), default=0)


def _max_blocks(engine: Engine, accelerator: Accelerator, boundaries: Sequence[int]) -> int:
    """Return the number of blocks that an accelerator can hold beside its KV cache."""
    widest = max(end - first for first, end in zip(boundaries, boundaries[1:], strict=False))
    return min(max_layers(engine, accelerator) // widest, len(boundaries) - 1)
