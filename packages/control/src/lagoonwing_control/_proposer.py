"""Batching of commands into log entries, with forwarding to the leader."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from lagoonwing_control._state_machine import decode_results, encode_batch
from lagoonwing_control.const import (
    FORWARD_TIMEOUT_S,
    MAX_BATCH_BYTES,
    MAX_BATCH_COMMANDS,
    MAX_BATCHES_IN_FLIGHT,
    PROPOSE_TIMEOUT_S,
)
from lagoonwing_control.models import (
    Batch,
    Command,
    CommandResult,
    OperatorChange,
    OrderStop,
)
from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import HostId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_replication import ReplicatedLog
from lagoonwing_wire import Link
from lagoonwing_wire.control_messages import Forward, Forwarded, Refused

_ENCODER = msgspec.msgpack.Encoder()
_COMMAND_DECODER = msgspec.msgpack.Decoder(Command)
_RESULT_DECODER = msgspec.msgpack.Decoder(CommandResult)


@dataclass(slots=True)
class _PendingCommand:
    """A command that waits to be batched."""

    command: Command
    size: int
    result: asyncio.Future[Result[CommandResult, Refusal]]


class Proposer:
    """Combines commands that arrive together into one entry of the replicated log."""

    def __init__(
        self,
        log: ReplicatedLog,
        link_by_host: dict[HostId, Link],
        wall_clock_ms: Callable[[], int],
        check_stop: Callable[[OrderStop], Refusal | None],
    ) -> None:
        self._check_stop = check_stop
        self._stop_lock = asyncio.Lock()
        self._log = log
        self._link_by_host = link_by_host
        self._wall_clock_ms = wall_clock_ms
        self._pending: deque[_PendingCommand] = deque()
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_submit(self, command: Command) -> Result[CommandResult, Refusal]:
        """Propose a command at this replica or forward it to the leader.

        Returns:
            The state machine's result, or a refusal `NOT_LEADER` (not proposed) or `NO_QUORUM`
            (not known whether it was or will be accepted).
        """
        result = await self.async_propose(command)
        match result:
            case Result(tag="error", error=Refusal(code=ResultCode.NOT_LEADER) as refusal):
                return await self._async_forward(HostId(refusal.detail), command)
            case _:
                return result

    async def async_propose(self, command: Command) -> Result[CommandResult, Refusal]:
        """Propose a command at this replica only."""
        match command:
            case OperatorChange(change=OrderStop() as order):
                # Serialised, so that two stops that are safe one by one can't remove the majority.
                async with self._stop_lock:
                    refusal = self._check_stop(order)
                    if refusal is not None:
                        return Error(refusal)
                    return await self._async_enqueue(command)
            case _:
                return await self._async_enqueue(command)

    async def _async_enqueue(self, command: Command) -> Result[CommandResult, Refusal]:
        """Add a command to the next batch and wait for its result."""
        future: asyncio.Future[Result[CommandResult, Refusal]] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending.append(_PendingCommand(command, len(_ENCODER.encode(command)), future))
        self._start_batch()
        return await future

    async def async_answer_forward(self, message: Forward) -> Forwarded | Refused:
        """Propose a command forwarded by another replica."""
        result = await self.async_propose(_COMMAND_DECODER.decode(message.command))
        match result:
            case Result(tag="ok", ok=answer):
                return Forwarded(_ENCODER.encode(answer))
            case Result(error=refusal):
                return refusal_reply(refusal)

    async def async_unload(self) -> None:
        """Cancel batches in flight and refuse the pending commands."""
        for task in self._tasks:
            task.cancel()
        while self._pending:
            item = self._pending.popleft()
            if not item.result.done():
                item.result.set_result(Error(Refusal(ResultCode.NOT_LEADER, "")))

    @callback
    def _start_batch(self) -> None:
        """Send the pending commands unless the limit of batches in flight is reached."""
        if not self._pending or len(self._tasks) >= MAX_BATCHES_IN_FLIGHT:
            return
        task = asyncio.get_running_loop().create_task(self._async_send_batch())
        self._tasks.add(task)
        task.add_done_callback(self._batch_done)

    @callback
    def _batch_done(self, task: asyncio.Task[None]) -> None:
        """Start the next batch."""
        self._tasks.discard(task)
        if not task.cancelled():
            self._start_batch()

    async def _async_send_batch(self) -> None:
        """Propose one batch and distribute the results."""
        # Commands that arrive in the same event loop iteration share a batch.
        await asyncio.sleep(0)
        items = self._next_batch()
        if not items:
            return
        batch = Batch(self._wall_clock_ms(), tuple(item.command for item in items))
        answer = await self._log.async_propose(encode_batch(batch), PROPOSE_TIMEOUT_S)
        match answer:
            case Result(tag="ok", ok=payload):
                for item, result in zip(items, decode_results(payload), strict=True):
                    _set_result(item, Ok(result))
            case Result(error=refusal):
                for item in items:
                    _set_result(item, Error(refusal))

    def _next_batch(self) -> list[_PendingCommand]:
        """Dequeue the commands of the next batch, within the limits on count and size."""
        items: list[_PendingCommand] = []
        size = 0
        while self._pending and len(items) < MAX_BATCH_COMMANDS:
            size += self._pending[0].size
            if items and size > MAX_BATCH_BYTES:
                break
            items.append(self._pending.popleft())
        return items

    async def _async_forward(
        self, leader: HostId, command: Command
    ) -> Result[CommandResult, Refusal]:
        """Forward a command to the leader."""
        link = self._link_by_host.get(leader)
        if link is None or link.channel is None:
            return Error(Refusal(ResultCode.NOT_LEADER, leader))
        reply = await link.async_call(Forward(_ENCODER.encode(command)), FORWARD_TIMEOUT_S)
        match reply:
            case Result(tag="ok", ok=Forwarded(answer=answer)):
                return Ok(_RESULT_DECODER.decode(answer))
            case Result(tag="ok", ok=Refused(code=code, detail=detail)):
                return Error(Refusal(code, detail))
            case _:
                # The leader may have proposed the command before the connection failed.
                return Error(Refusal(ResultCode.NO_QUORUM, f"no answer from leader {leader}"))


@callback
def _set_result(item: _PendingCommand, result: Result[CommandResult, Refusal]) -> None:
    """Set a command's result unless its caller has cancelled."""
    if not item.result.done():
        item.result.set_result(result)


def refusal_reply(refusal: Refusal) -> Refused:
    """Convert a refusal to a reply; the detail of `NOT_LEADER` is the leader's host id."""
    if refusal.code is ResultCode.NOT_LEADER:
        return Refused(refusal.code, refusal.detail, HostId(refusal.detail))
    return Refused(refusal.code, refusal.detail)
