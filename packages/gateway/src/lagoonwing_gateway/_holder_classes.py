"""Endpoints that compete for the same part of a path."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from lagoonwing_catalog.models import Engine, LayerRange
from lagoonwing_core.ids import EndpointId
from lagoonwing_placement import HolderGroup, prefill_ms


@dataclass(frozen=True, slots=True)
class HolderClass:
    """Endpoints that hold the same layers.

    Attributes:
        slots_by_id: Maximum number of requests at each endpoint.
        share: Mean number of these endpoints on a path.
        prefill_ms: Prefill time of a typical prompt at one of them.
    """

    slots_by_id: dict[EndpointId, int]
    share: float
    prefill_ms: float

    @property
    def visit_load(self) -> float:
        """Load that a request adds, in the unit in which `PathFinder` ranks endpoints."""
        return self.prefill_ms + 1.0


def classify_holders(engine: Engine, groups: Sequence[HolderGroup]) -> tuple[HolderClass, ...]:
    """Return the classes of the endpoints that hold a service's layers."""
    groups_by_layers: dict[LayerRange, list[HolderGroup]] = {}
    holders_by_layer: Counter[int] = Counter()
    for group in groups:
        groups_by_layers.setdefault(group.layers, []).append(group)
        for layer in range(group.layers.first, group.layers.end):
            holders_by_layer[layer] += len(group.endpoint_ids)
    return tuple(
        _make_class(engine, layers, same, holders_by_layer)
        for layers, same in groups_by_layers.items()
    )


def _make_class(
    engine: Engine,
    layers: LayerRange,
    groups: Sequence[HolderGroup],
    holders_by_layer: Counter[int],
) -> HolderClass:
    """Return the class of the groups that hold the same layers."""
    slots_by_id = {
        endpoint_id: group.slots for group in groups for endpoint_id in group.endpoint_ids
    }
    tokens = round(engine.mean_prompt_tokens)
    total_ms = sum(
        prefill_ms(engine, group.accelerator, tokens, layers.count) * len(group.endpoint_ids)
        for group in groups
    )
    share = sum(
        len(slots_by_id) / holders_by_layer[layer] for layer in range(layers.first, layers.end)
    )
    return HolderClass(slots_by_id, share / layers.count, total_ms / len(slots_by_id))
