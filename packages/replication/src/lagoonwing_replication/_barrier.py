"""Read barrier for linearizable reads."""

from __future__ import annotations

import asyncio
from typing import Protocol

from expression import Error, Ok, Result

from lagoonwing_consensus import ReplicaCore, ReplicaRole
from lagoonwing_core.clock import Clock
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import LogIndex
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_replication._changes import ChangeSignal


class ReplicaView(Protocol):
    """View of the replica that the read barrier needs."""

    core: ReplicaCore | None

    @property
    def applied(self) -> LogIndex:
        """Last entry applied to the state machine."""

    def not_leader(self) -> Refusal:
        """Return a `NOT_LEADER` refusal with the leader, if known."""


class ReadBarrier:
    """Waits for a valid leader lease and for the local state to reach its read index."""

    def __init__(self, replica: ReplicaView, clock: Clock, changes: ChangeSignal) -> None:
        self._replica = replica
        self._clock = clock
        self._changes = changes

    async def async_wait(self, timeout: float) -> Result[None, Refusal]:
        """Wait until the local state includes every change committed before the call.

        Args:
            timeout: Seconds to wait.

        Returns:
            Nothing, while the leader's lease is valid; or a refusal `NOT_LEADER` or `NO_QUORUM`.
        """
        deadline = asyncio.get_running_loop().time() + timeout
        while True:
            core = self._replica.core
            if core is None or core.role is not ReplicaRole.LEADER:
                return Error(self._replica.not_leader())
            index = core.read_index(self._clock.now())
            if index is not None and self._replica.applied >= index:
                return Ok(None)
            if not await self._changes.async_wait(deadline):
                return Error(Refusal(ResultCode.NO_QUORUM, "the lease has lapsed"))
