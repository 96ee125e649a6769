"""Placement of layers and choice of paths, without I/O."""

from __future__ import annotations

from lagoonwing_placement._capacity import kv_token_layers, load_s, read_ms
from lagoonwing_placement._paths import Holder, PathFinder
from lagoonwing_placement._planner import choose_shape, plan
from lagoonwing_placement._repair import due_orders, new_layers, shape_of
from lagoonwing_placement.models import Host, Path, PathPart, PlaceOrder, Shape, Work

__all__ = [
    "Holder",
    "Host",
    "Path",
    "PathFinder",
    "PathPart",
    "PlaceOrder",
    "Shape",
    "Work",
    "choose_shape",
    "due_orders",
    "kv_token_layers",
    "load_s",
    "new_layers",
    "plan",
    "read_ms",
    "shape_of",
]
