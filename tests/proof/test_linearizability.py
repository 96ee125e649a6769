"""Linearizability checker on small histories of a counter."""

from __future__ import annotations

from collections.abc import Hashable

import pytest

from proof.history import NEVER, Operation
from proof.linearizability import is_linearizable


def _step(state: Hashable, operation: Operation) -> Hashable | None:
    """Sequential model of a counter: `add` returns the new value, `get` the current one."""
    assert isinstance(state, int)
    after = state + 1 if operation.call == "add" else state
    return after if operation.answer in (None, after) else None


def _operation(call: str, invoked: float, returned: float, answer: int | None) -> Operation:
    return Operation("c", "k", call, invoked, returned, answer)


@pytest.mark.parametrize(
    ("operations", "expected"),
    [
        ([], True),
        ([("add", 0, 1, 1), ("get", 2, 3, 1)], True),
        ([("add", 0, 1, 1), ("get", 2, 3, 0)], False),
        ([("add", 0, 5, 1), ("get", 2, 3, 0)], True),
        ([("add", 0, 5, 1), ("get", 2, 3, 1), ("get", 3.5, 4, 0)], False),
        ([("add", 0, NEVER, None), ("get", 2, 3, 1)], True),
        ([("add", 0, NEVER, None), ("get", 2, 3, 0)], True),
        ([("add", 0, NEVER, None), ("get", 2, 3, 1), ("get", 4, 5, 2)], False),
        ([("add", 0, 1, 1), ("add", 0, 1, 1)], False),
        ([("add", 0, 2, 2), ("add", 1, 3, 1)], True),
        ([("add", 0, 1, 2), ("add", 2, 3, 1)], False),
    ],
)
def test_small_histories(operations: list[tuple], expected: bool) -> None:
    """The checker accepts exactly the linearizable histories."""
    history = [_operation(*entry) for entry in operations]
    assert is_linearizable(history, 0, _step) is expected
