"""Tests of the in-memory log."""

from __future__ import annotations

from lagoonwing_core.ids import LogIndex, Term
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_replication import LocalLog


class Recorder:
    """State machine that records its commands."""

    def __init__(self) -> None:
        self.commands: list[tuple[LogIndex, bytes]] = []

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Record a command."""
        self.commands.append((index, command))
        return command.upper()

    def snapshot(self) -> bytes:
        """Return an empty snapshot."""
        return b""

    def restore(self, snapshot: bytes) -> None:
        """Clear all commands."""
        self.commands.clear()


async def test_local_log_applies_only_while_it_leads() -> None:
    """Commands are applied in order with increasing indexes, and refused outside a term."""
    terms: list[Term | None] = []
    machine = Recorder()
    log = LocalLog(machine, on_leadership_change=terms.append)
    assert (await log.async_propose(b"a", 1.0)).error.code is ResultCode.NOT_LEADER
    await log.async_setup()
    assert (await log.async_propose(b"a", 1.0)).ok == b"A"
    log.end_term()
    assert (await log.async_read_barrier(1.0)).error.code is ResultCode.NOT_LEADER
    assert log.lease_term() is None
    log.start_term()
    assert (await log.async_propose(b"b", 1.0)).ok == b"B"
    assert machine.commands == [(2, b"a"), (4, b"b")]
    assert terms == [1, None, 2]
    assert log.status().applied_index == 4
    await log.async_unload()
    assert terms[-1] is None
