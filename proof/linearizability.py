"""Search for an order of operations that explains a history.

After J. M. Wing and C. Gong, "Testing and Verifying Concurrent Objects" (1993), with the memo of
visited configurations by G. Lowe, "Testing for linearizability" (2017). No library of the registry
does this.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass
from typing import Any

from proof.history import NEVER, History, Operation

# Returns the state after an operation, or `None` if its answer doesn't fit the state. An answer of
# `None` fits every state in which the operation may take effect.
Step = Callable[[Hashable, Operation], Hashable | None]


@dataclass(frozen=True, slots=True)
class Violation:
    """A key whose history no order explains."""

    key: str
    operations: tuple[Operation, ...]


def check_history(history: History, initial: Hashable, step: Step) -> list[Violation]:
    """Check each key of a history on its own; linearizability is local to a key.

    Args:
        history: Operations of all clients.
        initial: State of a key before its first operation.
        step: Sequential model of a key.

    Returns:
        The keys that no order explains.
    """
    return [
        Violation(key, tuple(operations))
        for key, operations in history.by_key().items()
        if not is_linearizable(operations, initial, step)
    ]


def is_linearizable(operations: Sequence[Operation], initial: Hashable, step: Step) -> bool:
    """Return whether some order of the operations explains their answers.

    An operation without an answer may take effect once, or never.
    """
    answered = _mask(index for index, entry in enumerate(operations) if entry.returned != NEVER)
    visited: set[tuple[int, Hashable]] = set()
    stack: list[tuple[int, Hashable]] = [(0, initial)]
    while stack:
        done, state = stack.pop()
        if done & answered == answered:
            return True
        if (done, state) in visited:
            continue
        visited.add((done, state))
        for index in _candidates(operations, done):
            after = step(state, operations[index])
            if after is not None:
                stack.append((done | 1 << index, after))
    return False


def _mask(indexes: Any) -> int:
    """Return a bit mask of indexes."""
    mask = 0
    for index in indexes:
        mask |= 1 << index
    return mask


def _candidates(operations: Sequence[Operation], done: int) -> list[int]:
    """Return the operations that may come next: those invoked before any open one returned."""
    open_indexes = [index for index in range(len(operations)) if not done >> index & 1]
    earliest = min(operations[index].returned for index in open_indexes)
    return [index for index in open_indexes if operations[index].invoked <= earliest]
