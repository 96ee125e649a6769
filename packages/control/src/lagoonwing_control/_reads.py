"""Linearizable reads at any replica."""

from __future__ import annotations

import asyncio

from expression import Error, Ok, Result

from lagoonwing_control._state_machine import ControlStateMachine
from lagoonwing_control._watchers import Watchers
from lagoonwing_control.const import BARRIER_TIMEOUT_S
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import HostId, Revision
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_replication import ReplicatedLog
from lagoonwing_wire import Link
from lagoonwing_wire.control_messages import BarrierPassed, ReadBarrier, Refused


class LinearizableReads:
    """Waits until the state of this replica is recent enough to read."""

    def __init__(
        self,
        log: ReplicatedLog,
        state_machine: ControlStateMachine,
        watchers: Watchers,
        link_by_host: dict[HostId, Link],
    ) -> None:
        self._log = log
        self._state_machine = state_machine
        self._watchers = watchers
        self._link_by_host = link_by_host

    async def async_barrier(self) -> Result[None, Refusal]:
        """Wait until every change accepted before the call is applied at this replica.

        Returns:
            Nothing, or a refusal: `NOT_LEADER` (leader unknown or unreachable) or `NO_QUORUM`.
        """
        result = await self._log.async_read_barrier(BARRIER_TIMEOUT_S)
        match result:
            case Result(tag="error", error=Refusal(code=ResultCode.NOT_LEADER)):
                return await self._async_leader_barrier()
            case _:
                return result

    async def _async_leader_barrier(self) -> Result[None, Refusal]:
        """Get the read revision from the leader and wait until it is applied here."""
        leader = self._log.status().leader or HostId("")
        link = self._link_by_host.get(leader)
        if link is None:
            return Error(Refusal(ResultCode.NOT_LEADER, leader))
        reply = await link.async_call(ReadBarrier(), BARRIER_TIMEOUT_S)
        match reply:
            case Result(tag="ok", ok=BarrierPassed(revision=revision)):
                return await self._async_wait_until_applied(revision)
            case Result(tag="ok", ok=Refused(code=code, detail=detail)):
                return Error(Refusal(code, detail))
            case _:
                return Error(Refusal(ResultCode.NOT_LEADER, leader))

    async def _async_wait_until_applied(self, revision: Revision) -> Result[None, Refusal]:
        """Wait until a revision is applied at this replica."""
        changed = asyncio.Event()
        remove = self._watchers.add_listener(changed.set)
        try:
            async with asyncio.timeout(BARRIER_TIMEOUT_S):
                while self._state_machine.state.revision < revision:
                    await changed.wait()
                    changed.clear()
        except TimeoutError:
            return Error(Refusal(ResultCode.NO_QUORUM, "this replica lags behind the leader"))
        finally:
            remove()
        return Ok(None)
