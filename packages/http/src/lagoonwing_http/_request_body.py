"""Bodies of requests that a server holds, bounded in total."""

from __future__ import annotations

from lagoonwing_core.callback import callback


class BodyBudget:
    """Limit on the total bytes of request bodies buffered until their responses are sent."""

    def __init__(self, max_bytes: int) -> None:
        self._free_bytes = max_bytes

    def try_reserve(self, count: int) -> bool:
        """Reserve bytes; return whether enough were free."""
        if count > self._free_bytes:
            return False
        self._free_bytes -= count
        return True

    def release(self, count: int) -> None:
        """Release reserved bytes."""
        self._free_bytes += count


class RequestBody:
    """Body of one request while it arrives.

    Once the budget is used up the body is read and discarded: closing a connection with unread
    data would discard the refusal.
    """

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._chunks: list[bytes] = []
        self._reserved_bytes = 0
        self._is_discarded = False

    @callback
    def add(self, chunk: bytes) -> None:
        """Add a chunk, or discard the body if the budget is used up."""
        if self._is_discarded or not self._budget.try_reserve(len(chunk)):
            self.discard()
            return
        self._reserved_bytes += len(chunk)
        self._chunks.append(chunk)

    @callback
    def take(self) -> bytes | None:
        """Return the complete body, whose bytes the caller must release; None if discarded."""
        if self._is_discarded:
            return None
        body = b"".join(self._chunks)
        self._chunks.clear()
        self._reserved_bytes = 0
        return body

    @callback
    def discard(self) -> None:
        """Discard the body and release its bytes."""
        self._is_discarded = True
        self._chunks.clear()
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
