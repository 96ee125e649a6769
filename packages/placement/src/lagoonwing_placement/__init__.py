"""Placement of model layers on endpoints and selection of request paths, without I/O."""

from __future__ import annotations

from lagoonwing_placement._capacity import (
    kv_token_layers,
    load_s,
    new_layer_count,
    prefill_ms,
    step_ms,
    transfer_ms,
)
from lagoonwing_placement._layout import infer_layout
from lagoonwing_placement._path_timing import PathBounds
from lagoonwing_placement._paths import Holder, HolderGroup, PathFinder, group_holders
from lagoonwing_placement._planner import choose_layout, plan
from lagoonwing_placement._repair import RepairPlanner, due_orders
from lagoonwing_placement.const import PREFILL_CHUNK_TOKENS
from lagoonwing_placement.models import (
    Backlogs,
    DomainLink,
    OrderReason,
    PartitionLayout,
    Path,
    PathSegment,
    PlacementEndpoint,
    PlacementOrder,
    RequestSize,
)

__all__ = [
    "PREFILL_CHUNK_TOKENS",
    "Backlogs",
    "DomainLink",
    "Holder",
    "HolderGroup",
    "OrderReason",
    "PartitionLayout",
    "Path",
    "PathBounds",
    "PathFinder",
    "PathSegment",
    "PlacementEndpoint",
    "PlacementOrder",
    "RepairPlanner",
    "RequestSize",
    "choose_layout",
    "due_orders",
    "group_holders",
    "infer_layout",
    "kv_token_layers",
    "load_s",
    "new_layer_count",
    "plan",
    "prefill_ms",
    "step_ms",
    "transfer_ms",
]
