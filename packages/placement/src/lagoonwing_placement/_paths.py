"""Choice of the endpoints that run a request's layers.

Answers the load of many streams on mixed accelerators: the cost of a path is the time that the
request takes on it and the time that it costs others, on work in flight that is known for certain
before reports that lag.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_catalog.models import Accelerator, Engine, LayerRange
from lagoonwing_core.ids import EndpointId, FailureDomainId
from lagoonwing_placement._capacity import crossing_ms, kv_token_layers, read_ms, step_ms
from lagoonwing_placement.const import (
    CROSSING_WEIGHT,
    DECODE_WEIGHT,
    ENTRY_CROSSING_MS,
    HOP_MS,
    JITTER_SHARE,
    KV_BUSY_SHARE,
    KV_FULL_SHARE,
    KV_PRESSURE_MS,
    LATENCY_WEIGHT,
    MAX_PARTS,
    READ_INTERFERENCE,
)
from lagoonwing_placement.models import Path, PathPart, Work

_NO_LOAD = EndpointLoad(0, 0, 0)


@dataclass(frozen=True, slots=True)
class Holder:
    """An endpoint that holds layers and may get work.

    Attributes:
        slowness: Factor by which it works slower than published; 1 as published.
    """

    endpoint_id: EndpointId
    failure_domain: FailureDomainId
    accelerator: Accelerator
    layers: LayerRange
    slots: int
    slowness: float = 1.0


@dataclass(frozen=True, slots=True)
class _Step:
    """Best way found to have run all layers before a position.

    Attributes:
        previous: Key of the step before; nothing at the start.
    """

    cost_ms: float
    first_token_ms: float
    part: PathPart | None
    previous: tuple[int, FailureDomainId | None] | None


@dataclass(slots=True)
class PathFinder:
    """Finds paths over the holders of one service's layers.

    Attributes:
        load_by_id: Work in flight at each endpoint, of all gateways.
        own_domain: Where the gateway is, if that is known.
    """

    engine: Engine
    load_by_id: Mapping[EndpointId, EndpointLoad]
    rng: random.Random = field(default_factory=random.Random)
    own_domain: FailureDomainId | None = None

    def find(self, holders: Iterable[Holder], work: Work, ignore_room: bool = False) -> Path | None:
        """Return the cheapest path, or nothing if no path has room.

        Args:
            holders: Endpoints that may be used.
            work: Size of the request.
            ignore_room: Whether endpoints with a full KV cache may be used.
        """
        usable = [one for one in holders if ignore_room or self._has_room(one, work)]
        edges = sorted({0, self.engine.layer_count, *self._edges(usable)})
        steps: dict[tuple[int, FailureDomainId | None], _Step] = {
            (0, None): _Step(0.0, 0.0, None, None)
        }
        crossing = crossing_ms(self.engine, work.prompt_tokens)
        cost_by_id = {one.endpoint_id: self._costs(one, work, edges) for one in usable}
        for position in edges[:-1]:
            here = [(key, step) for key, step in steps.items() if key[0] == position]
            if not here:
                continue
            for holder in usable:
                if not holder.layers.first <= position < holder.layers.end:
                    continue
                self._extend(steps, here, holder, cost_by_id[holder.endpoint_id], crossing)
        return self._best(steps)

    def _extend(
        self,
        steps: dict[tuple[int, FailureDomainId | None], _Step],
        here: list[tuple[tuple[int, FailureDomainId | None], _Step]],
        holder: Holder,
        costs: _HolderCosts,
        crossing: float,
    ) -> None:
        """Try one holder after the best ways to a position."""
        position = here[0][0][0]
        base: tuple[float, float, tuple[int, FailureDomainId | None]] | None = None
        for key, step in here:
            crosses = key[1] is not None and key[1] != holder.failure_domain
            cost = step.cost_ms + (crossing * CROSSING_WEIGHT if crosses else 0.0)
            if position == 0 and self.own_domain not in (None, holder.failure_domain):
                cost += ENTRY_CROSSING_MS
            if base is None or cost < base[0]:
                base = (cost, step.first_token_ms + (crossing if crosses else 0.0), key)
        assert base is not None
        for end in costs.edges:
            if end <= position:
                continue
            count = end - position
            cost = base[0] + HOP_MS + costs.fixed_ms + costs.per_layer_ms * count
            key = (end, holder.failure_domain)
            known = steps.get(key)
            if known is not None and known.cost_ms <= cost:
                continue
            first = base[1] + costs.queue_ms + costs.read_per_layer_ms * count
            part = PathPart(holder.endpoint_id, LayerRange(position, end))
            steps[key] = _Step(cost, first, part, base[2])

    def _best(self, steps: dict[tuple[int, FailureDomainId | None], _Step]) -> Path | None:
        """Return the cheapest way to the end as a path."""
        end = self.engine.layer_count
        ends = [step for key, step in steps.items() if key[0] == end]
        if not ends:
            return None
        last = min(ends, key=lambda step: step.cost_ms)
        parts: list[PathPart] = []
        step: _Step | None = last
        while step is not None and step.part is not None:
            parts.append(step.part)
            step = steps[step.previous] if step.previous is not None else None
        parts = _join(parts[::-1])
        if len(parts) > MAX_PARTS:
            return None
        return Path(tuple(parts), last.cost_ms, last.first_token_ms)

    def _costs(self, holder: Holder, work: Work, edges: list[int]) -> _HolderCosts:
        """Return the parts of a holder's cost."""
        load = self.load_by_id.get(holder.endpoint_id, _NO_LOAD)
        total = self.engine.layer_count
        context = load.kv_token_layers / holder.layers.count
        step = step_ms(self.engine, holder.accelerator, total, load.sequences + 1, context)
        read = read_ms(self.engine, holder.accelerator, work.prompt_tokens, total)
        step *= holder.slowness
        read *= holder.slowness
        queue = load.read_ms * holder.slowness
        interference = 1.0 + READ_INTERFERENCE * load.sequences
        jitter = 1.0 + JITTER_SHARE * self.rng.random()
        capacity = kv_token_layers(self.engine, holder.accelerator, holder.layers.count)
        decode = step * work.answer_tokens * DECODE_WEIGHT
        per_layer = (read * interference * LATENCY_WEIGHT + decode) / total
        per_layer += self._pressure_ms(load, capacity) / total
        return _HolderCosts(
            edges=tuple(edge for edge in edges if edge <= holder.layers.end),
            queue_ms=queue,
            fixed_ms=queue * LATENCY_WEIGHT * jitter,
            read_per_layer_ms=read / total,
            per_layer_ms=per_layer * jitter,
        )

    def _pressure_ms(self, load: EndpointLoad, capacity: float) -> float:
        """Return the cost of filling a KV cache further."""
        share = load.kv_token_layers / max(capacity, 1.0)
        return KV_PRESSURE_MS * max(0.0, share - KV_BUSY_SHARE)

    def _has_room(self, holder: Holder, work: Work) -> bool:
        """Return whether a request fits into an endpoint with all layers that it holds."""
        load = self.load_by_id.get(holder.endpoint_id, _NO_LOAD)
        if load.sequences >= holder.slots:
            return False
        capacity = kv_token_layers(self.engine, holder.accelerator, holder.layers.count)
        needed = load.kv_token_layers + work.tokens * holder.layers.count
        return needed <= capacity * KV_FULL_SHARE

    def _edges(self, holders: Iterable[Holder]) -> Iterable[int]:
        """Yield every layer at which a holder begins or ends."""
        for holder in holders:
            yield holder.layers.first
            yield holder.layers.end


@dataclass(frozen=True, slots=True)
class _HolderCosts:
    """Cost of one holder for one request.

    Attributes:
        edges: Layers at which its part may end.
    """

    edges: tuple[int, ...]
    queue_ms: float
    fixed_ms: float
    read_per_layer_ms: float
    per_layer_ms: float


def _join(parts: list[PathPart]) -> list[PathPart]:
    """Return the parts with each endpoint once: what lies between two of its parts joins them."""
    index_by_id: dict[EndpointId, int] = {}
    joined: list[PathPart] = []
    for part in parts:
        index = index_by_id.get(part.endpoint_id)
        if index is None:
            index_by_id[part.endpoint_id] = len(joined)
            joined.append(part)
            continue
        for dropped in joined[index + 1 :]:
            del index_by_id[dropped.endpoint_id]
        layers = LayerRange(joined[index].layers.first, part.layers.end)
        joined[index:] = [PathPart(part.endpoint_id, layers)]
    return joined
