"""Bytes of responses that a process holds, bounded in total."""

from __future__ import annotations

from collections.abc import Callable

from lagoonwing_core.callback import callback


class HeldBytes:
    """Bytes of one response in one place, until they are passed on or dropped.

    Attributes:
        size: Number of bytes that are held.
    """

    __slots__ = ("_budget", "_on_give_way", "size")

    def __init__(self, budget: ResponseBudget, on_give_way: Callable[[], object]) -> None:
        self.size = 0
        self._budget = budget
        self._on_give_way = on_give_way

    @callback
    def resize(self, size: int) -> None:
        """Set the number of bytes; the largest response may give way, this one too."""
        self._budget.resize(self, size)

    @callback
    def close(self) -> None:
        """Release all bytes; no more are counted."""
        self._budget.close(self)

    @callback
    def give_way(self) -> None:
        """Release all bytes, and let the holder drop them."""
        self.close()
        self._on_give_way()


class ResponseBudget:
    """Limit on the total bytes of responses, from their arrival until their callers took them.

    When it is used up the largest response gives way. An endpoint whose responses have no end
    thus takes nothing from the responses of others.

    Attributes:
        held_bytes: Bytes of all responses.
    """

    def __init__(self, max_bytes: int) -> None:
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._open: set[HeldBytes] = set()

    @callback
    def open(self, on_give_way: Callable[[], object]) -> HeldBytes:
        """Return an account for a response.

        Args:
            on_give_way: Called when the response must give way; it drops all bytes.
        """
        held = HeldBytes(self, on_give_way)
        self._open.add(held)
        return held

    @callback
    def resize(self, held: HeldBytes, size: int) -> None:
        """Set the bytes of an open account; the largest responses may give way."""
        if held not in self._open:
            return
        self.held_bytes += size - held.size
        held.size = size
        while self.held_bytes > self._max_bytes:
            max(self._open, key=lambda account: account.size).give_way()

    @callback
    def close(self, held: HeldBytes) -> None:
        """Release the bytes of an account."""
        if held in self._open:
            self._open.remove(held)
            self.held_bytes -= held.size
            held.size = 0
