"""Pending proposals."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

from expression import Error, Ok, Result

from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import LogIndex, Term
from lagoonwing_core.result_codes import ResultCode

Answer = Result[bytes, Refusal]


@dataclass(slots=True, eq=False)
class Proposal:
    """A command with a waiting caller."""

    command: bytes
    answer: asyncio.Future[Answer]
    term: Term = Term(0)


class Proposals:
    """Commands waiting to be appended, and appended ones waiting to be committed."""

    def __init__(self) -> None:
        self._waiting: deque[Proposal] = deque()
        self._proposal_by_index: dict[LogIndex, Proposal] = {}
        self._uncommitted_bytes = 0

    @property
    def has_waiting(self) -> bool:
        """Whether commands are waiting to be appended."""
        return bool(self._waiting)

    @callback
    def add(self, command: bytes) -> Proposal:
        """Queue a command."""
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        proposal = Proposal(command, answer)
        self._waiting.append(proposal)
        return proposal

    @callback
    def withdraw(self, proposal: Proposal) -> bool:
        """Remove a command from the queue; return false if it was already appended."""
        if proposal not in self._waiting:
            return False
        self._waiting.remove(proposal)
        return True

    @callback
    def take_batch(self, max_uncommitted_bytes: int) -> list[Proposal]:
        """Return the commands to append now, in order."""
        batch: list[Proposal] = []
        while self._waiting and self._uncommitted_bytes < max_uncommitted_bytes:
            proposal = self._waiting.popleft()
            self._uncommitted_bytes += len(proposal.command)
            batch.append(proposal)
        return batch

    @callback
    def record_appended(self, batch: list[Proposal], first: LogIndex, term: Term) -> None:
        """Record the log positions of appended commands."""
        for offset, proposal in enumerate(batch):
            proposal.term = term
            self._proposal_by_index[LogIndex(first + offset)] = proposal

    @callback
    def complete(self, index: LogIndex, term: Term, answer: bytes) -> None:
        """Complete the proposal at an index."""
        proposal = self._proposal_by_index.pop(index, None)
        if proposal is None:
            return
        self._uncommitted_bytes -= len(proposal.command)
        if proposal.term == term:
            _resolve(proposal, Ok(answer))
        else:
            _resolve(proposal, Error(Refusal(ResultCode.NOT_LEADER, "")))

    @callback
    def refuse_all(self, detail: str) -> None:
        """Refuse all commands; appended ones may still be committed, the others will not be."""
        for proposal in self._proposal_by_index.values():
            refusal = Refusal(ResultCode.NO_QUORUM, "leadership was lost before acceptance")
            _resolve(proposal, Error(refusal))
        for proposal in self._waiting:
            _resolve(proposal, Error(Refusal(ResultCode.NOT_LEADER, detail)))
        self._proposal_by_index.clear()
        self._waiting.clear()
        self._uncommitted_bytes = 0


def _resolve(proposal: Proposal, answer: Answer) -> None:
    """Set the result, unless the caller has stopped waiting."""
    if not proposal.answer.done():
        proposal.answer.set_result(answer)
