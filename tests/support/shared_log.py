"""In-memory replicated log of several replicas, whose leader is set by the test."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from expression import Error, Ok, Result

from lagoonwing_consensus.models import Replica, ReplicaRole
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import HostId, LogIndex, ReplicaId, Term
from lagoonwing_core.models import HostAddress
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_replication import LogStatus, StateMachine


class SharedLog:
    """Accepted commands in order, and the replicas that apply them."""

    def __init__(self, replicas: tuple[HostAddress, ...]) -> None:
        self.commands: list[bytes] = []
        self.term = Term(0)
        self.leader: HostId | None = None
        self.log_by_host: dict[HostId, SharedLogReplica] = {}
        self.voters = tuple(
            Replica(ReplicaId(f"{item.host_id}-1"), item.host_id, item.address, item.port)
            for item in replicas
        )

    def set_leader(self, host_id: HostId | None) -> None:
        """Make a replica the leader, or none; it applies all commands before it takes over."""
        former = self.log_by_host.get(self.leader) if self.leader else None
        self.leader = None
        if former is not None:
            former.on_leadership_change(None)
        if host_id is None:
            return
        self.term = Term(self.term + 1)
        self.leader = host_id
        log = self.log_by_host[host_id]
        log.lagging = False
        log.apply_accepted()
        log.on_leadership_change(self.term)

    def accept(self, command: bytes) -> bytes:
        """Append a command, apply it on all but lagging replicas, return the leader's answer."""
        self.commands.append(command)
        answer = b""
        for log in self.log_by_host.values():
            answers = log.apply_accepted()
            if log.host_id == self.leader:
                answer = answers[-1]
        return answer


class SharedLogReplica:
    """A replica of a shared log.

    Attributes:
        lagging: Whether applying commands is suspended.
        lose_answers: Whether accepted proposals return an error, as if the answer were lost.
    """

    name = "shared_log"

    def __init__(self, shared: SharedLog, host_id: HostId, state_machine: StateMachine) -> None:
        self.host_id = host_id
        self.lagging = False
        self.lose_answers = False
        self.on_leadership_change: Callable[[Term | None], None] = lambda term: None
        self._shared = shared
        self._state_machine = state_machine
        self._applied = 0
        shared.log_by_host[host_id] = self

    async def async_setup(self) -> None:
        """Do nothing; the replica joined when it was created."""

    async def async_unload(self) -> None:
        """Leave the shared log."""
        self._shared.log_by_host.pop(self.host_id, None)
        if self._shared.leader == self.host_id:
            self._shared.leader = None

    def apply_accepted(self) -> list[bytes]:
        """Apply all accepted commands, unless lagging, and return the answers."""
        answers: list[bytes] = []
        while not self.lagging and self._applied < len(self._shared.commands):
            command = self._shared.commands[self._applied]
            self._applied += 1
            answers.append(self._state_machine.apply(LogIndex(self._applied), command))
        return answers

    async def async_propose(self, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Accept a command if this replica is the leader."""
        if self._shared.leader != self.host_id:
            return Error(Refusal(ResultCode.NOT_LEADER, self._shared.leader or ""))
        answer = self._shared.accept(command)
        if self.lose_answers:
            return Error(Refusal(ResultCode.NO_QUORUM, "answer lost"))
        return Ok(answer)

    async def async_read_barrier(self, timeout: float) -> Result[None, Refusal]:
        """Succeed immediately if this replica is the leader."""
        if self._shared.leader != self.host_id:
            return Error(Refusal(ResultCode.NOT_LEADER, self._shared.leader or ""))
        return Ok(None)

    def lease_term(self) -> Term | None:
        """Return the term while this replica is the leader."""
        return self._shared.term if self._shared.leader == self.host_id else None

    def status(self) -> LogStatus:
        """Return the status of this replica."""
        leads = self._shared.leader == self.host_id
        contacts: Mapping[HostId, float] = {
            replica.host_id: 0.0 if replica.host_id in self._shared.log_by_host else float("inf")
            for replica in self._shared.voters
            if replica.host_id != self.host_id
        }
        return LogStatus(
            role=ReplicaRole.LEADER if leads else ReplicaRole.FOLLOWER,
            term=self._shared.term,
            leader=self._shared.leader,
            is_lease_valid=leads,
            voters=self._shared.voters,
            learners=(),
            commit_index=LogIndex(len(self._shared.commands)),
            applied_index=LogIndex(self._applied),
            contact_age_by_host=contacts,
        )
