"""Bytes of responses that a process holds, bounded in total."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Hashable, Iterable

from lagoonwing_core.callback import callback

# Share of the limit above which the responses without a source, most of which wait for callers
# who read slowly, are judged together. The rest is left to responses that arrive from endpoints.
_SOURCELESS_SHARE = 0.75

# Where a response comes from, the largest unit first: a service, an endpoint of it.
ResponseSource = tuple[Hashable, ...]


class HeldBytes:
    """Bytes of one response in one place, until they are passed on or dropped.

    Attributes:
        size: Number of bytes that are held.
        source: Where the response comes from; empty if it counts by itself.
    """

    __slots__ = ("_budget", "_on_give_way", "size", "source")

    def __init__(
        self, budget: ResponseBudget, on_give_way: Callable[[], object], source: ResponseSource
    ) -> None:
        self.size = 0
        self.source = source
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

    When it is used up, the largest response of the source that holds most gives way. A service or
    an endpoint whose responses have no end thus takes nothing from larger responses of others.
    If responses without a source hold nearly all of it, the largest of them gives way.

    Attributes:
        held_bytes: Bytes of all responses.
    """

    def __init__(self, max_bytes: int) -> None:
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._open: set[HeldBytes] = set()

    @callback
    def open(self, on_give_way: Callable[[], object], source: ResponseSource = ()) -> HeldBytes:
        """Return an account for a response.

        Args:
            on_give_way: Called when the response must give way; it drops all bytes.
            source: Where the response comes from; by default, it is a source of its own.
        """
        held = HeldBytes(self, on_give_way, source)
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
            self._find_largest().give_way()

    @callback
    def close(self, held: HeldBytes) -> None:
        """Release the bytes of an account."""
        if held in self._open:
            self._open.remove(held)
            self.held_bytes -= held.size
            held.size = 0

    def _find_largest(self) -> HeldBytes:
        """Return the response that gives way."""
        sourceless = [account for account in self._open if not account.source]
        if sum(account.size for account in sourceless) > _SOURCELESS_SHARE * self._max_bytes:
            return max(sourceless, key=lambda account: account.size)
        return _largest_of_largest_source(self._open)


def _largest_of_largest_source(candidates: Iterable[HeldBytes]) -> HeldBytes:
    """Return the largest response of the source that holds most."""
    accounts = list(candidates)
    for depth in range(1, max(len(account.source) for account in accounts) + 1):
        bytes_by_source: Counter[ResponseSource] = Counter()
        for account in accounts:
            bytes_by_source[_source_at(account, depth)] += account.size
        largest = max(bytes_by_source, key=lambda source: bytes_by_source[source])
        accounts = [account for account in accounts if _source_at(account, depth) == largest]
    return max(accounts, key=lambda account: account.size)


def _source_at(account: HeldBytes, depth: int) -> ResponseSource:
    """Return the source of a response up to a depth; without one it is its own source."""
    return account.source[:depth] or (account,)
