"""Appends proposed commands to the log in batches."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from expression import Error, Result

from lagoonwing_consensus import Output, ReplicaCore, ReplicaRole
from lagoonwing_consensus.const import MAX_COMMAND_BYTES
from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import LogIndex, Term
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_replication._changes import ChangeSignal
from lagoonwing_replication._proposals import Proposals
from lagoonwing_replication.const import MAX_UNCOMMITTED_BYTES


class LeaderView(Protocol):
    """View of the replica that the proposer needs."""

    @property
    def core(self) -> ReplicaCore | None:
        """The core, `None` while the disk is unusable."""

    def lease_term(self) -> Term | None:
        """Return the term in which the replica may act as leader."""

    def not_leader(self) -> Refusal:
        """Return a `NOT_LEADER` refusal with the leader, if known."""

    def step(self, call: Callable[[ReplicaCore, float], Output]) -> None:
        """Call the core and process its output."""


class Proposer:
    """Queues commands and appends them in batches."""

    def __init__(self, view: LeaderView, proposals: Proposals, changes: ChangeSignal) -> None:
        self._view = view
        self._proposals = proposals
        self._changes = changes
        self._is_scheduled = False

    async def async_propose(self, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Append a command and wait until it is committed and applied."""
        if len(command) > MAX_COMMAND_BYTES:
            return Error(Refusal(ResultCode.MESSAGE_TOO_LARGE, f"{len(command)} bytes"))
        deadline = asyncio.get_running_loop().time() + timeout
        while self._view.lease_term() is None:
            if not self._is_leading() or not await self._changes.async_wait(deadline):
                return Error(self._view.not_leader())
        proposal = self._proposals.add(command)
        self.schedule()
        try:
            async with asyncio.timeout_at(deadline):
                return await proposal.answer
        except TimeoutError:
            if self._proposals.withdraw(proposal):
                return Error(self._view.not_leader())
            return Error(Refusal(ResultCode.NO_QUORUM, f"not accepted within {timeout} s"))

    @callback
    def schedule(self) -> None:
        """Append waiting commands in the next loop iteration, batching concurrent ones."""
        if self._is_scheduled or not self._proposals.has_waiting:
            return
        self._is_scheduled = True
        asyncio.get_running_loop().call_soon(self._append)

    @callback
    def _append(self) -> None:
        """Append the waiting commands."""
        self._is_scheduled = False
        core = self._view.core
        if core is None or not self._is_leading():
            self._proposals.refuse_all(self._view.not_leader().detail)
            return
        batch = self._proposals.take_batch(MAX_UNCOMMITTED_BYTES)
        if not batch:
            return
        self._proposals.record_appended(batch, LogIndex(core.last_index + 1), core.term)
        commands = [proposal.command for proposal in batch]
        self._view.step(lambda core, now: core.propose(commands, now))

    def _is_leading(self) -> bool:
        """Return whether this replica leads, with or without a valid lease."""
        core = self._view.core
        return core is not None and core.role is ReplicaRole.LEADER
