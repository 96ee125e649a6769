"""Histories of concurrent operations with invocation and return times."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field
from typing import Any

# Return time of an operation without an answer; it may take effect at any later time.
NEVER = math.inf


@dataclass(slots=True)
class Operation:
    """One operation of one client.

    Attributes:
        invoked: Monotonic time, in seconds, before the call was sent.
        returned: Monotonic time after the answer, or `NEVER`.
        answer: The answer, or `None` if it was lost.
    """

    client: str
    key: str
    call: Any
    invoked: float
    returned: float = NEVER
    answer: Any = None


@dataclass(slots=True)
class History:
    """Operations of all clients of a run."""

    operations: list[Operation] = field(default_factory=list)

    def invoke(self, client: str, key: str, call: Any) -> Operation:
        """Record the invocation of an operation."""
        operation = Operation(client, key, call, time.monotonic())
        self.operations.append(operation)
        return operation

    def complete(self, operation: Operation, answer: Any) -> None:
        """Record the answer of an operation."""
        operation.answer = answer
        operation.returned = time.monotonic()

    def by_key(self) -> dict[str, list[Operation]]:
        """Return the operations on each key, in the order of invocation."""
        operations_by_key: dict[str, list[Operation]] = {}
        for operation in sorted(self.operations, key=lambda entry: entry.invoked):
            operations_by_key.setdefault(operation.key, []).append(operation)
        return operations_by_key
