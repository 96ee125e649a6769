"""Selection of the endpoints that run a request's layers.

Balances many streams over mixed accelerators. The cost of a path combines the request's own time
and the delay it causes to other requests, based on work known to be in flight, since load reports
lag behind.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_catalog.models import Accelerator, Engine, LayerRange
from lagoonwing_core.ids import EndpointId, FailureDomainId
from lagoonwing_placement._capacity import kv_token_layers, prefill_ms, step_ms, transfer_ms
from lagoonwing_placement.const import (
    DECODE_WEIGHT,
    HOP_COST_MS,
    JITTER_SHARE,
    KV_BUSY_SHARE,
    KV_FULL_SHARE,
    KV_PRESSURE_MS,
    LATENCY_WEIGHT,
    MAX_LINK_BACKLOG_MS,
    MAX_PATH_ENDPOINTS,
    PREFILL_INTERFERENCE,
    REMOTE_ENTRY_COST_MS,
    TIE_JITTER_SHARE,
    TRANSFER_WEIGHT,
)
from lagoonwing_placement.models import Backlogs, DomainLink, Path, PathSegment, RequestSize

_NO_LOAD = EndpointLoad(0, 0, 0)


@dataclass(frozen=True, slots=True)
class Holder:
    """An endpoint that holds layers and accepts requests."""

    endpoint_id: EndpointId
    failure_domain: FailureDomainId
    accelerator: Accelerator
    layers: LayerRange
    slots: int


@dataclass(frozen=True, slots=True)
class HolderGroup:
    """Endpoints that are identical except for their load.

    Attributes:
        kv_token_layers: KV cache of each endpoint, in token-layers.
    """

    failure_domain: FailureDomainId
    accelerator: Accelerator
    layers: LayerRange
    slots: int
    kv_token_layers: float
    endpoint_ids: tuple[EndpointId, ...]


def group_holders(engine: Engine, holders: Iterable[Holder]) -> tuple[HolderGroup, ...]:
    """Group holders by domain, accelerator, layers and slots; reusable for many requests."""
    ids_by_key: dict[tuple[FailureDomainId, Accelerator, LayerRange, int], list[EndpointId]] = {}
    for holder in holders:
        key = (holder.failure_domain, holder.accelerator, holder.layers, holder.slots)
        ids_by_key.setdefault(key, []).append(holder.endpoint_id)
    return tuple(
        HolderGroup(
            domain,
            accelerator,
            layers,
            slots,
            kv_token_layers(engine, accelerator, layers.count),
            tuple(ids),
        )
        for (domain, accelerator, layers, slots), ids in ids_by_key.items()
    )


@dataclass(slots=True)
class _PathPrefix:
    """Cheapest known path prefix that runs all layers before a position.

    Attributes:
        endpoint_id: Last endpoint of the prefix; None at the start.
        first: First layer that this endpoint runs.
        domain: Failure domain of the preceding endpoint; None at the start.
    """

    cost_ms: float
    first_token_ms: float
    endpoint_id: EndpointId | None
    first: int
    domain: FailureDomainId | None


@dataclass(slots=True)
class PathFinder:
    """Finds paths over the endpoints that hold one service's layers.

    Attributes:
        load_by_id: Load of each endpoint, summed over all gateways.
        own_domain: Failure domain of the gateway, if known.
        backlogs: Estimated work that other gateways have started but not yet reported.
    """

    engine: Engine
    load_by_id: Mapping[EndpointId, EndpointLoad]
    rng: random.Random = field(default_factory=random.Random)
    own_domain: FailureDomainId | None = None
    backlogs: Backlogs = field(default_factory=Backlogs)

    def find(
        self,
        groups: Iterable[HolderGroup],
        size: RequestSize,
        is_usable: Callable[[EndpointId], bool] = lambda endpoint_id: True,
        may_enter: Callable[[EndpointId], bool] = lambda endpoint_id: True,
    ) -> Path | None:
        """Return the cheapest path, or None if no path has capacity.

        Args:
            groups: Endpoints that hold layers.
            size: Size of the request.
            is_usable: Returns whether an endpoint may be used.
            may_enter: Returns whether the request may be sent to an endpoint; the others of its
                path get it from there.
        """
        grouped = self._candidates(groups, size, is_usable)
        candidates = [candidate for _, candidate in grouped]
        entries = self._entries(grouped, size, is_usable, may_enter)
        boundaries = sorted(
            {0, self.engine.layer_count}.union(
                *((candidate.layers.first, candidate.layers.end) for candidate in candidates)
            )
        )
        candidates_by_position = {
            position: [
                candidate
                for candidate in candidates
                if candidate.layers.first <= position < candidate.layers.end
            ]
            for position in boundaries[1:-1]
        }
        candidates_by_position[0] = entries
        transfer_time_ms = transfer_ms(self.engine, size.prompt_tokens)
        prefixes_by_position: dict[int, dict[FailureDomainId | None, _PathPrefix]] = {
            position: {} for position in boundaries
        }
        prefixes_by_position[0][None] = _PathPrefix(0.0, 0.0, None, 0, None)
        for position in boundaries[:-1]:
            prefixes = prefixes_by_position[position]
            if not prefixes:
                continue
            for candidate in candidates_by_position[position]:
                self._extend(
                    prefixes_by_position, position, candidate, boundaries, transfer_time_ms
                )
        return self._cheapest_path(prefixes_by_position)

    def _extend(
        self,
        prefixes_by_position: dict[int, dict[FailureDomainId | None, _PathPrefix]],
        position: int,
        candidate: _Candidate,
        boundaries: Sequence[int],
        transfer_time_ms: float,
    ) -> None:
        """Extend the path prefixes that end at a position by one candidate endpoint."""
        base_cost, base_first_ms, base_domain = math.inf, 0.0, None
        for domain, prefix in prefixes_by_position[position].items():
            cost, first_ms = prefix.cost_ms, prefix.first_token_ms
            if domain is not None and domain != candidate.failure_domain:
                backlog_ms = self._link_backlog_ms(domain, candidate.failure_domain)
                if backlog_ms > MAX_LINK_BACKLOG_MS:
                    continue
                cost += transfer_time_ms * TRANSFER_WEIGHT + backlog_ms
                first_ms += transfer_time_ms + backlog_ms
            if position == 0 and self.own_domain not in (None, candidate.failure_domain):
                cost += REMOTE_ENTRY_COST_MS
            if cost < base_cost:
                base_cost, base_first_ms, base_domain = cost, first_ms, domain
        if base_cost == math.inf:
            return
        base_cost += HOP_COST_MS + candidate.queue_ms * LATENCY_WEIGHT
        for end in boundaries:
            if not position < end <= candidate.layers.end:
                continue
            count = end - position
            cost = base_cost + candidate.per_layer_ms * count
            prefixes = prefixes_by_position[end]
            existing = prefixes.get(candidate.failure_domain)
            if existing is not None and existing.cost_ms <= cost:
                continue
            first_ms = base_first_ms + candidate.queue_ms + candidate.prefill_per_layer_ms * count
            prefixes[candidate.failure_domain] = _PathPrefix(
                cost, first_ms, candidate.endpoint_id, position, base_domain
            )

    def _link_backlog_ms(self, source: FailureDomainId, target: FailureDomainId) -> float:
        """Return the estimated backlog of a link, in milliseconds."""
        if not self.backlogs.transfer_ms_by_link:
            return 0.0
        return self.backlogs.transfer_ms_by_link.get(DomainLink(source, target), 0.0)

    def _cheapest_path(
        self, prefixes_by_position: dict[int, dict[FailureDomainId | None, _PathPrefix]]
    ) -> Path | None:
        """Return the cheapest complete path."""
        complete = prefixes_by_position[self.engine.layer_count]
        if not complete:
            return None
        last_domain = min(complete, key=lambda domain: complete[domain].cost_ms)
        best = complete[last_domain]
        segments: list[PathSegment] = []
        domains: list[FailureDomainId | None] = []
        prefix, end = best, self.engine.layer_count
        while prefix.endpoint_id is not None:
            segments.append(PathSegment(prefix.endpoint_id, LayerRange(prefix.first, end)))
            domains.append(prefix.domain)
            prefix, end = prefixes_by_position[prefix.first][prefix.domain], prefix.first
        segments = _merge_repeated(segments[::-1])
        if len(segments) > MAX_PATH_ENDPOINTS:
            return None
        links = _links_between([*domains[::-1], last_domain])
        return Path(tuple(segments), best.cost_ms, best.first_token_ms, links)

    def _candidates(
        self,
        groups: Iterable[HolderGroup],
        size: RequestSize,
        is_usable: Callable[[EndpointId], bool],
    ) -> list[tuple[HolderGroup, _Candidate]]:
        """Return each group that has an endpoint with capacity, with the best one."""
        grouped: list[tuple[HolderGroup, _Candidate]] = []
        for group in groups:
            best = self._least_loaded(group, size, is_usable)
            if best is not None:
                grouped.append((group, self._make_candidate(group, best, size)))
        return grouped

    def _entries(
        self,
        grouped: Sequence[tuple[HolderGroup, _Candidate]],
        size: RequestSize,
        is_usable: Callable[[EndpointId], bool],
        may_enter: Callable[[EndpointId], bool],
    ) -> list[_Candidate]:
        """Return the best endpoint at which the request may enter from each group."""
        entries: list[_Candidate] = []
        refusing: list[HolderGroup] = []
        for group, candidate in grouped:
            if group.layers.first > 0:
                continue
            if may_enter(candidate.endpoint_id):
                entries.append(candidate)
            else:
                refusing.append(group)
        others = self._candidates(
            refusing,
            size,
            lambda endpoint_id: may_enter(endpoint_id) and is_usable(endpoint_id),
        )
        return [*entries, *(candidate for _, candidate in others)]

    def _least_loaded(
        self, group: HolderGroup, size: RequestSize, is_usable: Callable[[EndpointId], bool]
    ) -> EndpointId | None:
        """Return the least loaded endpoint of a group, or None if all are full."""
        max_kv = group.kv_token_layers * KV_FULL_SHARE - size.tokens * group.layers.count
        estimated_ms_by_id = self.backlogs.prefill_ms_by_id
        jitter_share = TIE_JITTER_SHARE if self.backlogs.sequences_by_id else JITTER_SHARE
        best: EndpointId | None = None
        best_rank = math.inf
        for endpoint_id in group.endpoint_ids:
            load = self.load_by_id.get(endpoint_id, _NO_LOAD)
            if load.sequences >= group.slots or load.kv_token_layers > max_kv:
                continue
            jitter = 1.0 + jitter_share * self.rng.random()
            queued_ms = load.prefill_ms + estimated_ms_by_id.get(endpoint_id, 0.0)
            sequences = load.sequences + self.backlogs.sequences_by_id.get(endpoint_id, 0.0)
            rank = (1.0 + queued_ms + sequences) * jitter
            if rank < best_rank and is_usable(endpoint_id):
                best, best_rank = endpoint_id, rank
        return best

    def _make_candidate(
        self, group: HolderGroup, endpoint_id: EndpointId, size: RequestSize
    ) -> _Candidate:
        """Return the costs of running a request on an endpoint."""
        load = self.load_by_id.get(endpoint_id, _NO_LOAD)
        layer_count = self.engine.layer_count
        context_tokens = load.kv_token_layers / group.layers.count
        step_time_ms = step_ms(
            self.engine, group.accelerator, layer_count, load.sequences + 1, context_tokens
        )
        prefill_time_ms = prefill_ms(
            self.engine, group.accelerator, size.prompt_tokens, layer_count
        )
        interference = 1.0 + PREFILL_INTERFERENCE * load.sequences
        decode_cost = step_time_ms * size.output_tokens * DECODE_WEIGHT
        cost = prefill_time_ms * interference * LATENCY_WEIGHT + decode_cost
        kv_share = load.kv_token_layers / max(group.kv_token_layers, 1.0)
        cost += KV_PRESSURE_MS * max(0.0, kv_share - KV_BUSY_SHARE)
        jitter = 1.0 + JITTER_SHARE * self.rng.random()
        return _Candidate(
            endpoint_id,
            group.failure_domain,
            group.layers,
            queue_ms=load.prefill_ms + self.backlogs.prefill_ms_by_id.get(endpoint_id, 0.0),
            prefill_per_layer_ms=prefill_time_ms / layer_count,
            per_layer_ms=cost / layer_count * jitter,
        )


@dataclass(slots=True)
class _Candidate:
    """An endpoint and its costs for one request."""

    endpoint_id: EndpointId
    failure_domain: FailureDomainId
    layers: LayerRange
    queue_ms: float
    prefill_per_layer_ms: float
    per_layer_ms: float


def _links_between(domains: Sequence[FailureDomainId | None]) -> tuple[DomainLink, ...]:
    """Return the links between successive domains; None marks the start of the path."""
    return tuple(
        DomainLink(source, target)
        for source, target in itertools.pairwise(domains)
        if source is not None and target is not None and source != target
    )


def _merge_repeated(segments: list[PathSegment]) -> list[PathSegment]:
    """Merge repeated endpoints: one that occurs twice also runs the layers in between."""
    index_by_id: dict[EndpointId, int] = {}
    merged: list[PathSegment] = []
    for segment in segments:
        index = index_by_id.get(segment.endpoint_id)
        if index is None:
            index_by_id[segment.endpoint_id] = len(merged)
            merged.append(segment)
            continue
        for dropped in merged[index + 1 :]:
            del index_by_id[dropped.endpoint_id]
        layers = LayerRange(merged[index].layers.first, segment.layers.end)
        merged[index:] = [PathSegment(segment.endpoint_id, layers)]
    return merged
