"""Maximum flow of tokens through pipeline stages."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import networkx as nx  # type: ignore[import-untyped]

from lagoonwing_core.ids import EndpointId, FailureDomainId
from lagoonwing_core.models import EndpointRecord
from lagoonwing_policy.routing import const
from lagoonwing_policy.routing._links import LinkTable

_SOURCE = "source"
_SINK = "sink"


@dataclass(frozen=True, slots=True)
class GroupKey:
    """Key of interchangeable stages: same layers, same failure domain."""

    first: int
    end: int
    failure_domain: FailureDomainId


@dataclass(frozen=True, slots=True)
class FlowPlan:
    """Planned flow of one model.

    Attributes:
        tokens_per_s: Maximum throughput that the rates of the stages allow.
        latency_s: Mean time of one token through the pipeline at the planned flow, including
            links.
        flow_by_endpoint: Planned tokens per second through each stage.
    """

    tokens_per_s: float
    latency_s: float
    flow_by_endpoint: dict[EndpointId, float]


def interval_s(record: EndpointRecord) -> float:
    """Return the time between two tokens of one sequence on a fully loaded endpoint."""
    if record.tokens_per_s <= 0:
        return const.UNKNOWN_INTERVAL_S
    return max(1, record.slots) / record.tokens_per_s


def rate(record: EndpointRecord) -> float:
    """Return the tokens per second of an endpoint, or an estimate if it announces none."""
    return max(1, record.slots) / interval_s(record)


def plan_flow(records: Iterable[EndpointRecord], layer_count: int, links: LinkTable) -> FlowPlan:
    """Compute the maximum flow through the stages that has the least total link time.

    Stages with equal layers in one failure domain form one edge, so the cost depends on the
    number of layer ranges and domains and not on the number of endpoints. At each layer
    boundary, edges connect the domains in which a range ends to those in which one starts; the
    weight of such an edge is the link time between the domains.

    Args:
        records: Stages of one model.
        layer_count: Number of layers of the model.
        links: Link times between failure domains.

    Returns:
        The plan; its flow is zero if no chain holds every layer exactly once.
    """
    members = _group_stages(records, layer_count)
    graph = _build_graph(members, layer_count, links)
    if not nx.has_path(graph, _SOURCE, _SINK):
        return FlowPlan(0.0, 0.0, {})
    flow = nx.max_flow_min_cost(graph, _SOURCE, _SINK)
    total = sum(flow[_SOURCE].values()) / const.FLOW_UNITS_PER_TOKEN
    if total <= 0:
        return FlowPlan(0.0, 0.0, {})
    flow_by_endpoint: dict[EndpointId, float] = {}
    token_seconds = _link_seconds(graph, flow)
    for key, records_of_key in members.items():
        through = _group_flow(flow, key) / const.FLOW_UNITS_PER_TOKEN
        capacity = sum(rate(record) for record in records_of_key)
        for record in records_of_key:
            share = through * rate(record) / capacity
            flow_by_endpoint[record.endpoint_id] = share
            token_seconds += share * interval_s(record)
    return FlowPlan(total, token_seconds / total, flow_by_endpoint)


def _group_stages(
    records: Iterable[EndpointRecord], layer_count: int
) -> dict[GroupKey, list[EndpointRecord]]:
    """Group interchangeable stages of a model; stages with invalid layers are skipped."""
    members: dict[GroupKey, list[EndpointRecord]] = defaultdict(list)
    for record in records:
        layers = record.layers
        if layers is None or not 0 <= layers.first < layers.end <= layer_count:
            continue
        members[GroupKey(layers.first, layers.end, record.failure_domain)].append(record)
    return members


def _build_graph(
    members: dict[GroupKey, list[EndpointRecord]], layer_count: int, links: LinkTable
) -> nx.DiGraph:
    """Build the flow graph over layer boundaries and failure domains."""
    graph = nx.DiGraph()
    graph.add_nodes_from((_SOURCE, _SINK))
    ends: dict[int, set[FailureDomainId]] = defaultdict(set)
    starts: dict[int, set[FailureDomainId]] = defaultdict(set)
    for key, records in members.items():
        units = sum(int(rate(record) * const.FLOW_UNITS_PER_TOKEN) for record in records)
        tail = ("start", key.first, key.failure_domain)
        head = ("end", key.end, key.failure_domain)
        graph.add_edge(tail, head, capacity=units, weight=0)
        starts[key.first].add(key.failure_domain)
        ends[key.end].add(key.failure_domain)
    for domain in starts.get(0, ()):
        graph.add_edge(_SOURCE, ("start", 0, domain), weight=0)
    for domain in ends.get(layer_count, ()):
        graph.add_edge(("end", layer_count, domain), _SINK, weight=0)
    for boundary in sorted(starts.keys() & ends.keys()):
        for from_domain in sorted(ends[boundary]):
            for to_domain in sorted(starts[boundary]):
                weight = round(links.seconds(from_domain, to_domain) * const.COST_UNITS_PER_S)
                graph.add_edge(
                    ("end", boundary, from_domain), ("start", boundary, to_domain), weight=weight
                )
    return graph


def _group_flow(flow: dict[object, dict[object, int]], key: GroupKey) -> int:
    """Return the planned flow through a group, in flow units."""
    tail = ("start", key.first, key.failure_domain)
    return flow.get(tail, {}).get(("end", key.end, key.failure_domain), 0)


def _link_seconds(graph: nx.DiGraph, flow: dict[object, dict[object, int]]) -> float:
    """Return the total link time of the planned flow, in token-seconds per second."""
    seconds = 0.0
    for tail, head, weight in graph.edges(data="weight"):
        units = flow.get(tail, {}).get(head, 0)
        seconds += units / const.FLOW_UNITS_PER_TOKEN * weight / const.COST_UNITS_PER_S
    return seconds
