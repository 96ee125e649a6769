"""Linearizability checker for recorded histories.

After J. M. Wing and C. Gong, "Testing and Verifying Concurrent Objects" (1993), with the
memoization of visited configurations by G. Lowe, "Testing for linearizability" (2017). No Python
library for this is published.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass
from typing import Any

from proof.history import NEVER, History, Operation

# Returns the state after an operation, or `None` if the answer is not possible in the given state.
# A lost answer (`None`) is possible in every state in which the operation may take effect.
Step = Callable[[Hashable, Operation], Hashable | None]


@dataclass(frozen=True, slots=True)
class Violation:
    """A key whose history is not linearizable."""

    key: str
    operations: tuple[Operation, ...]


def check_history(history: History, initial: Hashable, step: Step) -> list[Violation]:
    """Check each key separately, as linearizability is a local property.

    Args:
        history: Operations of all clients.
        initial: State of a key before its first operation.
        step: Sequential model of a key.

    Returns:
        The keys whose histories are not linearizable.
    """
    return [
        Violation(key, tuple(operations))
        for key, operations in history.by_key().items()
        if not is_linearizable(operations, initial, step)
    ]


def is_linearizable(operations: Sequence[Operation], initial: Hashable, step: Step) -> bool:
    """Return whether a valid sequential order of the operations yields their answers.

    An operation without an answer may take effect at most once.
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
    """Return the pending operations invoked before the first return of a pending one."""
    open_indexes = [index for index in range(len(operations)) if not done >> index & 1]
    earliest = min(operations[index].returned for index in open_indexes)
    return [index for index in open_indexes if operations[index].invoked <= earliest]
