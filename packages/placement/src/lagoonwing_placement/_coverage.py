"""Blocks of a model that a group of endpoints holds, and what a change of ranges does to them."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Sequence

from lagoonwing_catalog.models import Engine, LayerRange
from lagoonwing_placement._capacity import resident_tokens
from lagoonwing_placement.models import PartitionLayout, PlacementEndpoint


class GroupCoverage:
    """Blocks that the endpoints of a group hold now and will hold once all orders are complete."""

    def __init__(
        self, engine: Engine, layout: PartitionLayout, group: Sequence[PlacementEndpoint]
    ) -> None:
        self._engine = engine
        self._layout = layout
        self.capacity = [0.0] * layout.block_count
        self._holder_count: Counter[int] = Counter()
        for endpoint in group:
            self._add_tokens(endpoint, endpoint.target, 1.0)
            self._holder_count.update(self._kept_blocks(endpoint))

    def missing_blocks(self) -> list[int]:
        """Return the blocks that no endpoint holds or is loading, in order."""
        return [block for block, tokens in enumerate(self.capacity) if tokens <= 0]

    def blocks(self, layers: LayerRange | None) -> range:
        """Return the blocks that lie within a range of layers."""
        if layers is None:
            return range(0)
        first = bisect_left(self._layout.boundaries, layers.first)
        end = bisect_right(self._layout.boundaries, layers.end) - 1
        return range(first, max(first, end))

    def can_drop(self, endpoint: PlacementEndpoint, layers: LayerRange, remaining: int = 1) -> bool:
        """Return whether others hold every block that an endpoint gives up for a new range.

        Args:
            endpoint: The endpoint, which may hold layers.
            layers: Its new range.
            remaining: Number of other endpoints that must hold each block.
        """
        wanted = self.blocks(layers)
        kept = self._kept_blocks(endpoint)
        return all(block in wanted or self._holder_count[block] > remaining for block in kept)

    def capacity_after(self, endpoint: PlacementEndpoint, layers: LayerRange) -> list[float]:
        """Return the KV capacity of each block, in tokens, after an endpoint changes its range."""
        before = list(self.capacity)
        self._add_tokens(endpoint, endpoint.target, -1.0)
        self._add_tokens(endpoint, layers, 1.0)
        after, self.capacity = self.capacity, before
        return after

    def apply(self, endpoint: PlacementEndpoint, layers: LayerRange) -> None:
        """Record that an endpoint is ordered to change its range."""
        self.capacity = self.capacity_after(endpoint, layers)
        self._holder_count.subtract(self._kept_blocks(endpoint) - set(self.blocks(layers)))

    def _kept_blocks(self, endpoint: PlacementEndpoint) -> set[int]:
        """Return the blocks that an endpoint holds now and does not give up."""
        return set(self.blocks(endpoint.held)) & set(self.blocks(endpoint.target))

    def _add_tokens(
        self, endpoint: PlacementEndpoint, layers: LayerRange | None, sign: float
    ) -> None:
        """Add the KV capacity of an endpoint, times `sign`, to the blocks of a range."""
        if layers is None:
            return
        tokens = resident_tokens(self._engine, endpoint.accelerator, layers.count)
        for block in self.blocks(layers):
            self.capacity[block] += sign * tokens
