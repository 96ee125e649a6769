"""Initial placement: which endpoint holds which layers.

Links between failure domains are the scarcest resource, so each failure domain that has enough
memory gets complete copies of the model. Layers are assigned so that the smallest KV capacity of
any block is as large as possible.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import product

from lagoonwing_catalog.models import Engine, LayerRange
from lagoonwing_core.ids import EndpointId, FailureDomainId
from lagoonwing_placement._capacity import max_layers, resident_tokens
from lagoonwing_placement.const import BLOCK_COUNTS, LOSS_WEIGHTS, SCORE_TOLERANCE
from lagoonwing_placement.models import PartitionLayout, PlacementEndpoint

EndpointGroup = tuple[PlacementEndpoint, ...]


def plan(engine: Engine, endpoints: Sequence[PlacementEndpoint]) -> Mapping[EndpointId, LayerRange]:
    """Return the layers of each endpoint; empty if the endpoints can't hold the model."""
    layout = choose_layout(engine, endpoints)
    if layout is None:
        return {}
    layers_by_id: dict[EndpointId, LayerRange] = {}
    for group in group_by_domain(engine, endpoints):
        layers_by_id.update(assign_layers(engine, layout, group))
    return layers_by_id


def choose_layout(engine: Engine, endpoints: Sequence[PlacementEndpoint]) -> PartitionLayout | None:
    """Return the layout with the best score, if any layout can hold the model."""
    groups = group_by_domain(engine, endpoints)
    best: PartitionLayout | None = None
    best_score = 0.0
    for layout in _candidate_layouts(engine, endpoints):
        score = sum(_score(engine, layout, group) for group in groups)
        if score > best_score * (1.0 + SCORE_TOLERANCE):
            best, best_score = layout, score
    return best


def group_by_domain(
    engine: Engine, endpoints: Iterable[PlacementEndpoint]
) -> tuple[EndpointGroup, ...]:
    """Return endpoints by failure domain; merge domains that can't hold the model alone.

    If the merged domains can't hold it either, they join the group with the least memory.
    """
    endpoints_by_domain: dict[FailureDomainId, list[PlacementEndpoint]] = defaultdict(list)
    for endpoint in endpoints:
        endpoints_by_domain[endpoint.failure_domain].append(endpoint)
    groups: list[list[PlacementEndpoint]] = []
    too_small: list[PlacementEndpoint] = []
    for _, domain_endpoints in sorted(endpoints_by_domain.items()):
        if _can_hold_model(engine, domain_endpoints):
            groups.append(domain_endpoints)
        else:
            too_small.extend(domain_endpoints)
    if too_small and (_can_hold_model(engine, too_small) or not groups):
        groups.append(too_small)
    elif too_small:
        min(groups, key=_memory_mb).extend(too_small)
    return tuple(tuple(group) for group in groups)


def assign_layers(
    engine: Engine,
    layout: PartitionLayout,
    group: Iterable[PlacementEndpoint],
    capacity: list[float] | None = None,
) -> Mapping[EndpointId, LayerRange]:
    """Assign layers to endpoints, largest first, each to the blocks with the least KV capacity.

    Args:
        engine: Published figures of the engine.
        layout: Partition of the model.
        group: Endpoints to assign layers to.
        capacity: KV capacity of each block in tokens; updated in place.
    """
    capacity = capacity if capacity is not None else [0.0] * layout.block_count
    layers_by_id: dict[EndpointId, LayerRange] = {}
    ordered = sorted(
        group,
        key=lambda endpoint: (
            -layout.blocks_by_kind[endpoint.accelerator.kind],
            endpoint.endpoint_id,
        ),
    )
    for endpoint in ordered:
        count = layout.blocks_by_kind[endpoint.accelerator.kind]
        if count == 0:
            continue
        first = _least_capacity_start(capacity, count)
        layers = layout.layers(first, count)
        tokens = resident_tokens(engine, endpoint.accelerator, layers.count)
        for block in range(first, first + count):
            capacity[block] += tokens
        layers_by_id[endpoint.endpoint_id] = layers
    return layers_by_id


def _least_capacity_start(capacity: Sequence[float], count: int) -> int:
    """Return the start of the window of blocks with the smallest minimum, then total, capacity."""
    starts = range(len(capacity) - count + 1)

    def rank(first: int) -> tuple[float, float]:
        window = capacity[first : first + count]
        return min(window), sum(window)

    return min(starts, key=rank)


def _can_hold_model(engine: Engine, endpoints: Iterable[PlacementEndpoint]) -> bool:
    """Return whether the endpoints can hold the model between them."""
    return (
        sum(max_layers(engine, endpoint.accelerator) for endpoint in endpoints)
        >= engine.layer_count
    )


def _memory_mb(endpoints: Iterable[PlacementEndpoint]) -> float:
    """Return the total memory of the endpoints."""
    return sum(endpoint.accelerator.memory_mb for endpoint in endpoints)


def _candidate_layouts(
    engine: Engine, endpoints: Iterable[PlacementEndpoint]
) -> Iterator[PartitionLayout]:
    """Yield the candidate layouts."""
    max_layers_by_kind = {
        endpoint.accelerator.kind: max_layers(engine, endpoint.accelerator)
        for endpoint in endpoints
    }
    kinds = sorted(max_layers_by_kind)
    for blocks in BLOCK_COUNTS:
        if blocks > engine.layer_count:
            continue
        boundaries = tuple(round(engine.layer_count * i / blocks) for i in range(blocks + 1))
        largest_block = max(
            end - first for first, end in zip(boundaries, boundaries[1:], strict=False)
        )
        options = [_block_options(max_layers_by_kind[kind] // largest_block) for kind in kinds]
        for counts in product(*options):
            if any(counts):
                yield PartitionLayout(boundaries, dict(zip(kinds, counts, strict=True)))


def _block_options(max_blocks: int) -> Sequence[int]:
    """Return the candidate block counts for a kind that can hold at most `max_blocks`."""
    if max_blocks == 0:
        return (0,)
    return range(max(1, max_blocks // 2), max_blocks + 1)


def _score(engine: Engine, layout: PartitionLayout, group: EndpointGroup) -> float:
    """Return a score that grows with the group's throughput, with and without lost endpoints.

    The square root gives diminishing returns, so that surplus capacity doesn't outweigh a block
    that is lost.
    """
    layers_by_id = assign_layers(engine, layout, group)
    tokens_by_block: list[list[float]] = [[] for _ in range(layout.block_count)]
    delay_by_block = [0.0] * layout.block_count
    block_by_boundary = {boundary: block for block, boundary in enumerate(layout.boundaries)}
    for endpoint in group:
        layers = layers_by_id.get(endpoint.endpoint_id)
        if layers is None:
            continue
        tokens = resident_tokens(engine, endpoint.accelerator, layers.count)
        for block in range(block_by_boundary[layers.first], block_by_boundary[layers.end]):
            tokens_by_block[block].append(tokens)
            delay_by_block[block] += tokens * endpoint.accelerator.step_factor
    if not all(tokens_by_block):
        return 0.0
    delay = sum(
        total / sum(tokens) for total, tokens in zip(delay_by_block, tokens_by_block, strict=True)
    )
    mean_delay = delay / layout.block_count
    return sum(
        weight * math.sqrt(_capacity_after_loss(tokens_by_block, lost) / mean_delay)
        for lost, weight in enumerate(LOSS_WEIGHTS)
    )


def _capacity_after_loss(tokens_by_block: Sequence[Sequence[float]], lost: int) -> float:
    """Return the smallest block capacity after the worst-case loss of `lost` endpoints."""
    return min(sum(sorted(tokens)[: max(0, len(tokens) - lost)]) for tokens in tokens_by_block)
