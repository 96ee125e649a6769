"""Placement of model layers on endpoints and selection of request paths, without I/O."""

from __future__ import annotations

from lagoonwing_placement._capacity import kv_token_layers, load_s, prefill_ms, transfer_ms
from lagoonwing_placement._paths import Holder, HolderGroup, PathFinder, group_holders
from lagoonwing_placement._planner import choose_shape, plan
from lagoonwing_placement._repair import due_orders, infer_layout, new_layer_count
from lagoonwing_placement.models import (
    Backlogs,
    DomainLink,
    Host,
    PartitionLayout,
    Path,
    PathSegment,
    PlacementOrder,
    Work,
)

__all__ = [
    "Backlogs",
    "Holder",
    "HolderGroup",
    "Host",
    "Path",
    "PathFinder",
    "PathSegment",
    "DomainLink",
    "PlacementOrder",
    "PartitionLayout",
    "Work",
    "choose_shape",
    "transfer_ms",
    "due_orders",
    "group_holders",
    "kv_token_layers",
    "load_s",
    "new_layer_count",
    "plan",
    "prefill_ms",
    "infer_layout",
]
