"""Typed wrapper of `sortedcontainers.SortedList`, which ships no type annotations."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

from sortedcontainers import SortedList

ItemT = TypeVar("ItemT")


class OrderedSet(Generic[ItemT]):
    """Unique items in ascending order."""

    def __init__(self) -> None:
        self._items = SortedList()

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self._items)

    def __iter__(self) -> Iterator[ItemT]:
        """Iterate in ascending order."""
        return iter(self._items)

    def first(self) -> ItemT | None:
        """Return the lowest item, None if the set is empty."""
        if not self._items:
            return None
        lowest: ItemT = self._items[0]
        return lowest

    def count_below(self, item: ItemT) -> int:
        """Return the number of items that are lower than this one."""
        count: int = self._items.bisect_left(item)
        return count

    def add(self, item: ItemT) -> None:
        """Add an item."""
        self._items.add(item)

    def remove(self, item: ItemT) -> None:
        """Remove an item that is present."""
        self._items.remove(item)

    def discard(self, item: ItemT) -> None:
        """Remove an item if it is present."""
        self._items.discard(item)
