"""A replicated log of one replica in memory."""

from __future__ import annotations

from collections.abc import Callable

from expression import Error, Ok, Result

from lagoonwing_consensus.models import Replica, ReplicaRole
from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import HostId, LogIndex, ReplicaId, Term
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_replication.models import LogStatus, StateMachine

_LOCAL_HOST = HostId("local")


class LocalLog:
    """Single replica in memory, for tests; leads from setup onwards."""

    name = "local_log"

    def __init__(
        self,
        state_machine: StateMachine,
        host_id: HostId = _LOCAL_HOST,
        on_leadership_change: Callable[[Term | None], None] = lambda term: None,
    ) -> None:
        self.on_leadership_change = on_leadership_change
        self._state_machine = state_machine
        self._replica = Replica(ReplicaId(f"{host_id}-1"), host_id, "127.0.0.1", 0)
        self._term = Term(0)
        self._applied = LogIndex(0)
        self._leading = False

    async def async_setup(self) -> None:
        """Become leader."""
        self.start_term()

    async def async_unload(self) -> None:
        """Step down."""
        self.end_term()

    async def async_propose(self, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Apply a command immediately, or refuse with `NOT_LEADER`."""
        if not self._leading:
            return Error(Refusal(ResultCode.NOT_LEADER, ""))
        self._applied = LogIndex(self._applied + 1)
        return Ok(self._state_machine.apply(self._applied, command))

    async def async_read_barrier(self, timeout: float) -> Result[None, Refusal]:
        """Return immediately, or refuse with `NOT_LEADER`."""
        if not self._leading:
            return Error(Refusal(ResultCode.NOT_LEADER, ""))
        return Ok(None)

    def lease_term(self) -> Term | None:
        """Return the term if this replica leads."""
        return self._term if self._leading else None

    def status(self) -> LogStatus:
        """Return the status of the only replica."""
        return LogStatus(
            role=ReplicaRole.LEADER if self._leading else ReplicaRole.FOLLOWER,
            term=self._term,
            leader=self._replica.host_id if self._leading else None,
            is_lease_valid=self._leading,
            voters=(self._replica,),
            learners=(),
            commit_index=self._applied,
            applied_index=self._applied,
            contact_age_by_host={},
        )

    @callback
    def start_term(self) -> None:
        """Become leader in the next term."""
        self._term = Term(self._term + 1)
        # A new term starts with a no-op entry, as in Raft.
        self._applied = LogIndex(self._applied + 1)
        self._leading = True
        self.on_leadership_change(self._term)

    @callback
    def end_term(self) -> None:
        """Cease to lead; proposals are refused until the next term."""
        if not self._leading:
            return
        self._leading = False
        self.on_leadership_change(None)
