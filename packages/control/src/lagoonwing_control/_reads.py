"""Reads that miss no change accepted before them, at any replica."""

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


class Reads:
    """Waits until this replica's tables may be read."""

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
        """Wait until every change accepted before the call is applied here.

        Returns:
            Nothing, or a refusal `NOT_LEADER` (no leader is known or reached) or `NO_QUORUM`.
        """
        result = await self._log.async_read_barrier(BARRIER_TIMEOUT_S)
        match result:
            case Result(tag="error", error=Refusal(code=ResultCode.NOT_LEADER)):
                return await self._async_follow_barrier()
            case _:
                return result

    async def _async_follow_barrier(self) -> Result[None, Refusal]:
        """Ask the leader how far to apply, and wait for it."""
        leader = self._log.status().leader or HostId("")
        link = self._link_by_host.get(leader)
        if link is None:
            return Error(Refusal(ResultCode.NOT_LEADER, leader))
        reply = await link.async_call(ReadBarrier(), BARRIER_TIMEOUT_S)
        match reply:
            case Result(tag="ok", ok=BarrierPassed(revision=revision)):
                return await self._async_wait(revision)
            case Result(tag="ok", ok=Refused(code=code, detail=detail)):
                return Error(Refusal(code, detail))
            case _:
                return Error(Refusal(ResultCode.NOT_LEADER, leader))

    async def _async_wait(self, revision: Revision) -> Result[None, Refusal]:
        """Wait until a revision is applied here."""
        applied = asyncio.Event()
        remove = self._watchers.add_listener(applied.set)
        try:
            async with asyncio.timeout(BARRIER_TIMEOUT_S):
                while self._state_machine.state.revision < revision:
                    await applied.wait()
                    applied.clear()
        except TimeoutError:
            return Error(Refusal(ResultCode.NO_QUORUM, "this replica lags behind the leader"))
        finally:
            remove()
        return Ok(None)
