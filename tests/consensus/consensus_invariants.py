"""Invariants of the log that are checked while the simulation runs."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from consensus_nodes import Node, ViolationError

from lagoonwing_consensus import Entry, ReplicaCore, ReplicaRole
from lagoonwing_core.ids import LogIndex, ReplicaId


class Invariants:
    """What was elected, appended, committed and acknowledged so far, and checks against it.

    Attributes:
        committed_by_index: Entries that some replica has applied.
        acknowledged_index: Last entry applied by a leader.
    """

    def __init__(self) -> None:
        self.committed_by_index: dict[int, Entry] = {}
        self.acknowledged_index = 0
        self._entry_by_position: dict[tuple[int, int], tuple[bytes, int]] = {}
        self._hash_by_index: dict[int, bytes] = {}
        self._leader_by_term: dict[int, ReplicaId] = {}
        self._acknowledgements: list[tuple[float, int]] = []

    def check_entry(self, core: ReplicaCore, entry: Entry) -> None:
        """Log matching: index and term identify one entry and its predecessor."""
        previous = core._state.log.term_at(LogIndex(entry.index - 1))
        if previous is None:
            return
        position = (entry.index, entry.term)
        known = self._entry_by_position.setdefault(position, (entry.payload, previous))
        if known != (entry.payload, previous):
            raise ViolationError(f"log matching: two entries at {position}")

    def check_election(self, core: ReplicaCore) -> None:
        """Election safety and leader completeness."""
        first = self._leader_by_term.setdefault(core.term, core.replica_id)
        if first != core.replica_id:
            raise ViolationError(
                f"election safety: {first} and {core.replica_id} lead the same term"
            )
        log = core._state.log
        for index, entry in self.committed_by_index.items():
            if index > log.base_index and log.term_at(LogIndex(index)) != entry.term:
                raise ViolationError(f"leader completeness: committed entry {index} is missing")

    def check_lease(self, node: Node, nodes: Iterable[Node], now: float) -> None:
        """Lease exclusivity: no two leaders hold a valid lease at the same time."""
        assert node.core is not None
        if not node.core.is_lease_valid(node.local_now(now)):
            return
        for other in nodes:
            if other is node or other.core is None:
                continue
            if other.core.is_lease_valid(other.local_now(now)):
                raise ViolationError("lease exclusivity: two leaders hold a valid lease")

    def check_read(self, node: Node, now: float) -> None:
        """Reads under the lease see every change acknowledged before."""
        assert node.core is not None
        index = node.core.read_index(node.local_now(now))
        if index is not None and index < self.acknowledged_index:
            raise ViolationError(
                f"stale read: {index} after {self.acknowledged_index} was acknowledged"
            )

    def check_current(self, node: Node, now: float) -> None:
        """A replica has every change acknowledged before its `current_at`."""
        assert node.core is not None
        local = node.core.current_at(node.local_now(now))
        if local is None:
            return
        current_at = (local - node.clock_offset) / node.clock_rate
        for acknowledged_at, index in reversed(self._acknowledgements):
            if acknowledged_at < current_at:
                if index > node.core.commit:
                    raise ViolationError(
                        f"freshness: {node.core.commit} committed here, {index} acknowledged at "
                        f"{acknowledged_at}, current at {current_at}"
                    )
                return

    def apply(self, node: Node, committed: list[Entry], now: float) -> None:
        """State machine safety, and revisions that increase by one."""
        for entry in committed:
            if entry.index != node.applied + 1:
                raise ViolationError(f"revision order: {entry.index} after {node.applied}")
            known = self.committed_by_index.setdefault(entry.index, entry)
            if known != entry:
                raise ViolationError(
                    f"state machine safety: two entries committed at {entry.index}"
                )
            node.applied = entry.index
            node.state_hash = hashlib.blake2s(
                node.state_hash + entry.payload, digest_size=16
            ).digest()
            self.check_state(node)
            assert node.core is not None
            if node.core.role is ReplicaRole.LEADER:
                self.acknowledged_index = max(self.acknowledged_index, entry.index)
                self._acknowledgements.append((now, self.acknowledged_index))

    def check_state(self, node: Node) -> None:
        """Every replica has the same state at the same entry."""
        known = self._hash_by_index.setdefault(node.applied, node.state_hash)
        if known != node.state_hash:
            raise ViolationError(f"state machine safety: states differ at entry {node.applied}")
