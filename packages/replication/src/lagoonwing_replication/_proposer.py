"""Brings callers' commands into the log, those that arrive together as one batch."""

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
    """What a proposer needs to know of its replica."""

    @property
    def core(self) -> ReplicaCore | None:
        """The core, while the disk can be used."""

    def lease_term(self) -> Term | None:
        """Return the term in which the replica may act as leader."""

    def not_leader(self) -> Refusal:
        """Return the refusal that names the leader, if known."""

    def step(self, call: Callable[[ReplicaCore, float], Output]) -> None:
        """Call the core and do what it asks for."""


class Proposer:
    """Queue of commands in front of the core."""

    def __init__(self, view: LeaderView, proposals: Proposals, changes: ChangeSignal) -> None:
        self._view = view
        self._proposals = proposals
        self._changes = changes
        self._is_scheduled = False

    async def async_propose(self, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Append a command and wait until it is accepted and applied."""
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
        """Append what waits once the loop has gathered what arrives together."""
        if self._is_scheduled or not self._proposals.has_waiting:
            return
        self._is_scheduled = True
        asyncio.get_running_loop().call_soon(self._append)

    @callback
    def _append(self) -> None:
        """Append the commands that wait."""
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
        """Return whether this replica leads, under a valid lease or not."""
        core = self._view.core
        return core is not None and core.role is ReplicaRole.LEADER
