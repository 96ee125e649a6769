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
from enum import Enum

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_catalog.models import Accelerator, Engine, LayerRange
from lagoonwing_core.ids import EndpointId, FailureDomainId
from lagoonwing_placement._capacity import kv_token_layers, prefill_ms, step_ms, transfer_ms
from lagoonwing_placement._path_timing import PathBounds, PathTiming
from lagoonwing_placement.const import (
    BOUND_COST_MS,
    DECODE_WEIGHT,
    HOP_COST_MS,
    JITTER_SHARE,
    KV_BUSY_SHARE,
    KV_FULL_SHARE,
    KV_PRESSURE_MS,
    LATENCY_WEIGHT,
    MAX_LINK_BACKLOG_MS,
    MAX_PATH_ENDPOINTS,
    PREFILL_CHUNK_TOKENS,
    PREFILL_INTERFERENCE,
    REMOTE_ENTRY_COST_MS,
    SLOWDOWN_RANK,
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


class _Criterion(Enum):
    """What makes a path the best one.

    COST: its cost to all requests. BOUNDS: its times, compared with the bounds. IDLE: the same,
    with the least loaded endpoint of each group even if that is slow.
    """

    COST = "cost"
    BOUNDS = "bounds"
    IDLE = "idle"


@dataclass(slots=True)
class _PathPrefix:
    """Cheapest known path prefix that runs all layers before a position.

    Attributes:
        candidate: Last endpoint of the prefix; None at the start.
        first: First layer that this endpoint runs.
        domain: Failure domain of the preceding endpoint; None at the start.
    """

    cost_ms: float
    first_token_ms: float
    candidate: _Candidate | None
    first: int
    domain: FailureDomainId | None


@dataclass(slots=True)
class PathFinder:
    """Finds paths over the endpoints that hold one service's layers.

    Attributes:
        load_by_id: Load of each endpoint, summed over all gateways.
        own_domain: Failure domain of the gateway, if known.
        backlogs: Estimated work that other gateways have started but not yet reported.
        slowdown_by_id: Slowdown factor of endpoints that are slower than their published figures.
        bounds: Times that load must not make a path exceed, if the route has any.
    """

    engine: Engine
    load_by_id: Mapping[EndpointId, EndpointLoad]
    rng: random.Random = field(default_factory=random.Random)
    own_domain: FailureDomainId | None = None
    backlogs: Backlogs = field(default_factory=Backlogs)
    slowdown_by_id: Mapping[EndpointId, float] = field(default_factory=dict)
    bounds: PathBounds | None = None

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
        groups = tuple(groups)
        late: Path | None = None
        for criterion in self._criteria():
            found = self._search(groups, size, is_usable, may_enter, criterion)
            if found is None:
                return late
            path, timing = found
            if self.bounds is None or timing.is_within(self.bounds):
                return path
            if not timing.is_full(self.bounds):
                late = path
        return late or self._find_idle(groups, size, is_usable, may_enter)

    def _find_idle(
        self,
        groups: Sequence[HolderGroup],
        size: RequestSize,
        is_usable: Callable[[EndpointId], bool],
        may_enter: Callable[[EndpointId], bool],
    ) -> Path | None:
        """Return the best path over endpoints without requests, or None.

        A full path whose times sum up to less than those of an idle one hides it from the search
        by the bounds.
        """

        def is_idle(endpoint_id: EndpointId) -> bool:
            load = self.load_by_id.get(endpoint_id, _NO_LOAD)
            return not load.sequences and is_usable(endpoint_id)

        found = self._search(groups, size, is_idle, may_enter, _Criterion.BOUNDS)
        if found is None or self.bounds is None or found[1].is_full(self.bounds):
            return None
        return found[0]

    def _criteria(self) -> tuple[_Criterion, ...]:
        """Return the criteria to search by until a path is within the bounds."""
        if self.bounds is None:
            return (_Criterion.COST,)
        if not self.slowdown_by_id:
            return (_Criterion.COST, _Criterion.BOUNDS)
        return (_Criterion.COST, _Criterion.BOUNDS, _Criterion.IDLE)

    def _search(
        self,
        groups: Sequence[HolderGroup],
        size: RequestSize,
        is_usable: Callable[[EndpointId], bool],
        may_enter: Callable[[EndpointId], bool],
        criterion: _Criterion,
    ) -> tuple[Path, PathTiming] | None:
        """Return the best path by a criterion among the endpoints with capacity, if any."""
        grouped = self._candidates(groups, size, is_usable, criterion)
        candidates = [candidate for _, candidate in grouped]
        entries = self._entries(grouped, size, is_usable, may_enter, criterion)
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
        for index, position in enumerate(boundaries[:-1]):
            prefixes = prefixes_by_position[position]
            if not prefixes:
                continue
            ends = boundaries[index + 1 :]
            for candidate in candidates_by_position[position]:
                self._extend(prefixes_by_position, position, candidate, ends, transfer_time_ms)
        return self._cheapest_path(prefixes_by_position, transfer_time_ms)

    def _extend(
        self,
        prefixes_by_position: dict[int, dict[FailureDomainId | None, _PathPrefix]],
        position: int,
        candidate: _Candidate,
        ends: Sequence[int],
        transfer_time_ms: float,
    ) -> None:
        """Extend the path prefixes that end at a position by one candidate endpoint.

        Args:
            prefixes_by_position: Prefixes found so far.
            position: First layer that the candidate would run.
            candidate: The endpoint.
            ends: Ascending boundaries behind the position.
            transfer_time_ms: Time to transfer the prompt's activations over a link.
        """
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
        base_cost += HOP_COST_MS + candidate.entry_cost_ms
        for end in ends:
            if end > candidate.layers.end:
                break
            count = end - position
            cost = base_cost + candidate.per_layer_ms * count
            prefixes = prefixes_by_position[end]
            existing = prefixes.get(candidate.failure_domain)
            if existing is not None and existing.cost_ms <= cost:
                continue
            first_ms = base_first_ms + candidate.queue_ms + candidate.prefill_per_layer_ms * count
            prefixes[candidate.failure_domain] = _PathPrefix(
                cost, first_ms, candidate, position, base_domain
            )

    def _link_backlog_ms(self, source: FailureDomainId, target: FailureDomainId) -> float:
        """Return the estimated backlog of a link, in milliseconds."""
        if not self.backlogs.transfer_ms_by_link:
            return 0.0
        return self.backlogs.transfer_ms_by_link.get(DomainLink(source, target), 0.0)

    def _cheapest_path(
        self,
        prefixes_by_position: dict[int, dict[FailureDomainId | None, _PathPrefix]],
        transfer_time_ms: float,
    ) -> tuple[Path, PathTiming] | None:
        """Return the cheapest complete path."""
        complete = prefixes_by_position[self.engine.layer_count]
        if not complete:
            return None
        last_domain = min(complete, key=lambda domain: complete[domain].cost_ms)
        best = complete[last_domain]
        segments: list[PathSegment] = []
        domains: list[FailureDomainId | None] = []
        candidate_by_id: dict[EndpointId, _Candidate] = {}
        prefix, end = best, self.engine.layer_count
        while prefix.candidate is not None:
            endpoint_id = prefix.candidate.endpoint_id
            candidate_by_id[endpoint_id] = prefix.candidate
            segments.append(PathSegment(endpoint_id, LayerRange(prefix.first, end)))
            domains.append(prefix.domain)
            prefix, end = prefixes_by_position[prefix.first][prefix.domain], prefix.first
        segments = _merge_repeated(segments[::-1])
        if len(segments) > MAX_PATH_ENDPOINTS:
            return None
        links = _links_between([*domains[::-1], last_domain])
        timing = self._timing(
            segments, candidate_by_id, best.first_token_ms, transfer_time_ms * len(links)
        )
        path = Path(tuple(segments), best.cost_ms, best.first_token_ms, links, timing.pause_ms)
        return path, timing

    def _candidates(
        self,
        groups: Iterable[HolderGroup],
        size: RequestSize,
        is_usable: Callable[[EndpointId], bool],
        criterion: _Criterion,
    ) -> list[tuple[HolderGroup, _Candidate]]:
        """Return each group that has an endpoint with capacity, with the best one."""
        grouped: list[tuple[HolderGroup, _Candidate]] = []
        for group in groups:
            best = self._least_loaded(group, size, is_usable, criterion)
            if best is not None:
                grouped.append((group, self._make_candidate(group, best, size, criterion)))
        return grouped

    def _entries(
        self,
        grouped: Sequence[tuple[HolderGroup, _Candidate]],
        size: RequestSize,
        is_usable: Callable[[EndpointId], bool],
        may_enter: Callable[[EndpointId], bool],
        criterion: _Criterion,
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
            criterion,
        )
        return [*entries, *(candidate for _, candidate in others)]

    def _least_loaded(
        self,
        group: HolderGroup,
        size: RequestSize,
        is_usable: Callable[[EndpointId], bool],
        criterion: _Criterion,
    ) -> EndpointId | None:
        """Return the least loaded endpoint of a group, or None if all are full."""
        slowdown_by_id = {} if criterion is _Criterion.IDLE else self.slowdown_by_id
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
            rank = 1.0 + queued_ms + sequences
            if endpoint_id in slowdown_by_id:
                rank += SLOWDOWN_RANK * (slowdown_by_id[endpoint_id] - 1.0)
            rank *= jitter
            if rank < best_rank and is_usable(endpoint_id):
                best, best_rank = endpoint_id, rank
        return best

    def _make_candidate(
        self, group: HolderGroup, endpoint_id: EndpointId, size: RequestSize, criterion: _Criterion
    ) -> _Candidate:
        """Return the costs of running a request on an endpoint."""
        load = self.load_by_id.get(endpoint_id, _NO_LOAD)
        slowdown = self.slowdown_by_id.get(endpoint_id, 1.0)
        layer_count = self.engine.layer_count
        context_tokens = load.kv_token_layers / group.layers.count
        step_time_ms = slowdown * step_ms(
            self.engine, group.accelerator, layer_count, load.sequences + 1, context_tokens
        )
        prefill_time_ms = slowdown * prefill_ms(
            self.engine, group.accelerator, size.prompt_tokens, layer_count
        )
        queue_ms = load.prefill_ms + self.backlogs.prefill_ms_by_id.get(endpoint_id, 0.0)
        queue_ms *= slowdown
        interference = 1.0 + PREFILL_INTERFERENCE * load.sequences
        decode_cost = step_time_ms * size.output_tokens * DECODE_WEIGHT
        cost = prefill_time_ms * interference * LATENCY_WEIGHT + decode_cost
        kv_share = load.kv_token_layers / max(group.kv_token_layers, 1.0)
        cost += KV_PRESSURE_MS * max(0.0, kv_share - KV_BUSY_SHARE)
        jitter = 1.0 + JITTER_SHARE * self.rng.random()
        candidate = _Candidate(
            endpoint_id,
            group.failure_domain,
            group.layers,
            queue_ms=queue_ms,
            prefill_per_layer_ms=prefill_time_ms / layer_count,
            entry_cost_ms=queue_ms * LATENCY_WEIGHT,
            per_layer_ms=cost / layer_count * jitter,
            step_per_layer_ms=step_time_ms / layer_count,
            accelerator=group.accelerator,
            slowdown=slowdown,
        )
        if criterion is not _Criterion.COST and self.bounds is not None:
            self._set_bound_costs(candidate, self.bounds, jitter)
        return candidate

    def _set_bound_costs(self, candidate: _Candidate, bounds: PathBounds, jitter: float) -> None:
        """Replace the costs of a candidate by its parts of the bounded times."""
        first_token_weight = BOUND_COST_MS / bounds.first_token_ms
        pause_weight = BOUND_COST_MS / bounds.pause_ms
        entry_cost_ms = candidate.queue_ms * first_token_weight
        candidate.entry_cost_ms = entry_cost_ms + self._chunk_ms(candidate) * pause_weight
        pause_per_layer_ms = candidate.step_per_layer_ms * self.engine.steps_per_pass
        cost = candidate.prefill_per_layer_ms * first_token_weight
        candidate.per_layer_ms = (cost + pause_per_layer_ms * pause_weight) * jitter

    def _chunk_ms(self, candidate: _Candidate) -> float:
        """Return the prefill time of other requests in one pass of an endpoint."""
        if not candidate.queue_ms:
            return 0.0
        chunk_ms = candidate.slowdown * prefill_ms(
            self.engine, candidate.accelerator, PREFILL_CHUNK_TOKENS, candidate.layers.count
        )
        return min(candidate.queue_ms, chunk_ms)

    def _timing(
        self,
        segments: Sequence[PathSegment],
        candidate_by_id: Mapping[EndpointId, _Candidate],
        first_token_ms: float,
        transfer_time_ms: float,
    ) -> PathTiming:
        """Return the times of a path with and without its load."""
        pause_ms = idle_pause_ms = 0.0
        idle_first_token_ms = transfer_time_ms
        steps = self.engine.steps_per_pass
        for segment in segments:
            candidate, count = candidate_by_id[segment.endpoint_id], segment.layers.count
            idle_step_ms = step_ms(self.engine, candidate.accelerator, count, 1, 0.0)
            pause_ms += self._chunk_ms(candidate) + candidate.step_per_layer_ms * steps * count
            idle_pause_ms += idle_step_ms * steps * candidate.slowdown
            idle_first_token_ms += candidate.prefill_per_layer_ms * count
        return PathTiming(first_token_ms, pause_ms, idle_first_token_ms, idle_pause_ms)


@dataclass(slots=True)
class _Candidate:
    """An endpoint and its costs for one request.

    Attributes:
        queue_ms: Prefill time that is queued there.
        entry_cost_ms: Cost of using the endpoint, whatever the number of layers.
        per_layer_ms: Further cost for each layer.
    """

    endpoint_id: EndpointId
    failure_domain: FailureDomainId
    layers: LayerRange
    queue_ms: float
    prefill_per_layer_ms: float
    entry_cost_ms: float
    per_layer_ms: float
    step_per_layer_ms: float
    accelerator: Accelerator
    slowdown: float


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
