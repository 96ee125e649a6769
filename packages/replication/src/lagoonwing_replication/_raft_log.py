"""The replicated log's shell: carries out what the core decides."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from expression import Error, Ok, Result

from lagoonwing_consensus import (
    Entry,
    EntryKind,
    InvariantError,
    Output,
    Replica,
    ReplicaCore,
    ReplicaRole,
    ReplicaSet,
    RestoredState,
    Snapshot,
    decode_replica_set,
)
from lagoonwing_consensus.const import MAX_COMMAND_BYTES
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import HostId, LogIndex, ReplicaId, Term
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_replication._changes import ChangeSignal
from lagoonwing_replication._clock import BootClock
from lagoonwing_replication._formation import Formation, Standing
from lagoonwing_replication._peers import Peers
from lagoonwing_replication._proposals import Proposals
from lagoonwing_replication._records import DiskIdentity
from lagoonwing_replication._storage import Recovered, Storage
from lagoonwing_replication._writer import Writer
from lagoonwing_replication.const import (
    MAX_UNACCEPTED_BYTES,
    PACKET_VERSION,
    SNAPSHOT_LOG_BYTES,
    STORAGE_RETRY_S,
    TICK_S,
)
from lagoonwing_replication.errors import CorruptStorageError, StorageError
from lagoonwing_replication.messages import (
    FormReply,
    FormRequest,
    JoinRequest,
    Packet,
    ShellMessage,
)
from lagoonwing_replication.models import LogStatus, StateMachine
from lagoonwing_replication.settings import LogSettings
from lagoonwing_wire import Channel, ChannelServer, Identity


class RaftLog:
    """One replica of the log on disk and network.

    Register it before the channel server is set up. The state machine is called on the loop.
    """

    name = "raft_log"

    def __init__(
        self,
        settings: LogSettings,
        state_machine: StateMachine,
        identity: Identity,
        server: ChannelServer,
        clock: Clock | None = None,
        on_leadership: Callable[[Term | None], None] = lambda term: None,
    ) -> None:
        self.on_leadership = on_leadership
        self._settings = settings
        self._state_machine = state_machine
        self._clock = clock or BootClock()
        self._storage = Storage(settings.folder, settings.host_id)
        self._writer = Writer(
            self._storage, self._take_synced, self._take_storage_failure, self._known_commit
        )
        self._peers = Peers(identity, server, self._take_push, self._async_take_call)
        self._formation = Formation(settings, self._peers, self._standing, self._async_found)
        self._proposals = Proposals()
        self._changes = ChangeSignal()
        self._identity: DiskIdentity | None = None
        self._core: ReplicaCore | None = None
        self._applied = LogIndex(0)
        self._applied_bytes = 0
        self._announced_term: Term | None = None
        self._announced_leader: ReplicaId | None = None
        self._accepted_set = ReplicaSet()
        self._host_by_replica: dict[ReplicaId, HostId] = {}
        self._binding = asyncio.Lock()
        self._is_flushing = False
        self._is_taking_snapshot = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_setup(self) -> None:
        """Recover the log and take part.

        Raises:
            CorruptStorageError: Something that was synced is damaged or gone. The folder must
                be emptied, so that the replica comes back under a new identity.
            StorageError: The folder can't be used.
        """
        try:
            recovered = await self._writer.async_run(self._storage.open)
        except StorageError as error:
            log_event(EventCode.STORAGE_FAILED, folder=self._settings.folder.name, error=error)
            raise
        self._start_core(recovered)
        for host in self._settings.hosts:
            await self._peers.async_add(host.host_id, host.address, host.port)
        self._spawn(self._async_tick())
        self._spawn(self._formation.async_run())

    async def async_unload(self) -> None:
        """Stop to take part; what is under way is refused."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._stop_core()
        await self._peers.async_unload()
        await self._writer.async_unload()

    async def async_propose(self, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Append a command and wait until it is accepted and applied.

        Args:
            command: Command for the state machine.
            timeout: Seconds to wait.

        Returns:
            The state machine's answer; or a refusal `MESSAGE_TOO_LARGE` or `NOT_LEADER` (not
            appended; the detail is the leader's host id or empty), or `NO_QUORUM` (not known
            whether it was or will be accepted).
        """
        if len(command) > MAX_COMMAND_BYTES:
            return Error(Refusal(ResultCode.MESSAGE_TOO_LARGE, f"{len(command)} bytes"))
        deadline = asyncio.get_running_loop().time() + timeout
        while self.lease_term() is None:
            if not self._is_leading() or not await self._changes.async_wait(deadline):
                return Error(Refusal(ResultCode.NOT_LEADER, self._leader_detail()))
        proposal = self._proposals.add(command)
        self._schedule_flush()
        remaining = deadline - asyncio.get_running_loop().time()
        try:
            return await asyncio.wait_for(proposal.answer, remaining)
        except TimeoutError:
            if self._proposals.withdraw(proposal):
                return Error(Refusal(ResultCode.NOT_LEADER, self._leader_detail()))
            return Error(Refusal(ResultCode.NO_QUORUM, f"not accepted within {timeout} s"))

    async def async_read_barrier(self, timeout: float) -> Result[None, Refusal]:
        """Wait until the local state holds every change accepted before the call.

        Returns:
            Nothing, while the leader's lease is valid; or a refusal `NOT_LEADER` or `NO_QUORUM`.
        """
        deadline = asyncio.get_running_loop().time() + timeout
        while True:
            core = self._core
            if core is None or core.role is not ReplicaRole.LEADER:
                return Error(Refusal(ResultCode.NOT_LEADER, self._leader_detail()))
            index = core.read_index(self._clock.now())
            if index is not None and self._applied >= index:
                return Ok(None)
            if not await self._changes.async_wait(deadline):
                return Error(Refusal(ResultCode.NO_QUORUM, "the lease has lapsed"))

    def lease_term(self) -> Term | None:
        """Return the term in which this replica may act as leader at this moment."""
        core = self._core
        if core is None or self._announced_term != core.term:
            return None
        return core.term if core.is_lease_valid(self._clock.now()) else None

    def status(self) -> LogStatus:
        """Return what this replica knows of the log."""
        core = self._core
        if core is None:
            return LogStatus(
                role=ReplicaRole.FOLLOWER,
                term=Term(0),
                leader=None,
                lease_valid=False,
                voters=self._accepted_set.voters,
                learners=self._accepted_set.learners,
                commit=self._applied,
                applied=self._applied,
                contact_age_by_host={},
            )
        return LogStatus(
            role=core.role,
            term=core.term,
            leader=self._leader_host(),
            lease_valid=self.lease_term() is not None,
            voters=core.replica_set.voters,
            learners=core.replica_set.learners,
            commit=core.commit,
            applied=self._applied,
            contact_age_by_host=self._contact_ages(core),
        )

    @callback
    def _start_core(self, recovered: Recovered) -> None:
        """Take part with what the disk holds."""
        self._identity = recovered.identity
        state = recovered.state
        if state.snapshot.index > self._applied:
            self._restore(state.snapshot)
        log_event(
            EventCode.LOG_RECOVERED,
            replica=recovered.identity.replica_id,
            cluster=recovered.identity.cluster_id,
            is_new=recovered.is_new,
            term=state.hard_state.term,
            snapshot=state.snapshot.index,
            entries=len(state.entries),
            torn_bytes=recovered.torn_bytes,
        )
        self._replace_core(state)

    @callback
    def _replace_core(self, state: RestoredState) -> None:
        """Start a core from a state on disk."""
        identity = self._known_identity()
        state = msgspec.structs.replace(state, applied=self._applied)
        self._core = ReplicaCore(
            identity.replica_id,
            self._settings.core,
            state,
            secrets.randbits(32),
            self._clock.now(),
        )
        self._carry_out(self._core.start())

    @callback
    def _stop_core(self) -> None:
        """Take no part any more; nothing is acknowledged from now on."""
        self._core = None
        self._writer.discard()
        self._proposals.refuse_all("")
        self._announce_leadership()
        self._changes.notify()

    @callback
    def _carry_out(self, output: Output) -> None:
        """Do what the core asks for."""
        for message in output.early_messages:
            self._send(message)
        if not self._apply_all(output):
            return
        is_durable = output.hard_state or output.snapshot or output.entries
        if is_durable or not self._writer.is_idle:
            self._writer.enqueue(output)
        else:
            for message in output.messages:
                self._send(message)
        self._announce_leadership()
        self._changes.notify()
        if output.committed:
            self._take_snapshot_if_due()
            self._schedule_flush()

    @callback
    def _apply_all(self, output: Output) -> bool:
        """Apply what has been accepted and return whether the state machine took it."""
        try:
            if output.snapshot is not None and output.snapshot.index > self._applied:
                self._restore(output.snapshot)
            for entry in output.committed:
                self._apply(entry)
        except Exception as error:
            # A state that has missed a change would differ from the others without notice.
            log_event(EventCode.COMPONENT_FAILED, component=self.name, error=repr(error))
            self._stop_core()
            return False
        return True

    @callback
    def _take_synced(self, outputs: Sequence[Output]) -> None:
        """Release what waited for a sync."""
        core = self._core
        if core is None:
            return
        for output in outputs:
            for message in output.messages:
                self._send(message)
        last = next((output.entries[-1] for output in reversed(outputs) if output.entries), None)
        if last is not None:
            self._carry_out(core.persisted(last.index, last.term, self._clock.now()))

    @callback
    def _take_storage_failure(self, error: StorageError) -> None:
        """Stop to acknowledge and to lead; a full disk is tried again later."""
        log_event(EventCode.STORAGE_FAILED, folder=self._settings.folder.name, error=error)
        self._stop_core()
        if error.is_full:
            self._spawn(self._async_reopen())

    async def _async_reopen(self) -> None:
        """Come back as after a restart once the disk takes writes again."""
        while True:
            await asyncio.sleep(STORAGE_RETRY_S)
            try:
                recovered = await self._writer.async_run(self._storage.open)
                await self._writer.async_run(self._storage.probe)
            except CorruptStorageError as error:
                log_event(EventCode.STORAGE_FAILED, folder=self._settings.folder.name, error=error)
                return
            except StorageError:
                continue
            self._start_core(recovered)
            return

    @callback
    def _apply(self, entry: Entry) -> None:
        """Apply one accepted entry."""
        self._applied = entry.index
        self._applied_bytes += len(entry.payload)
        match entry.kind:
            case EntryKind.COMMAND:
                answer = self._state_machine.apply(entry.index, entry.payload)
                self._proposals.accepted(entry.index, entry.term, answer)
            case EntryKind.REPLICA_SET:
                self._accept_set(decode_replica_set(entry.payload))
            case EntryKind.NO_OP:
                pass

    @callback
    def _accept_set(self, replica_set: ReplicaSet) -> None:
        """Log a change of the voters and link to hosts that are new."""
        before = {voter.replica_id for voter in self._accepted_set.voters}
        after = {voter.replica_id for voter in replica_set.voters}
        self._accepted_set = replica_set
        if before != after:
            log_event(
                EventCode.VOTER_CHANGED,
                added=",".join(sorted(after - before)),
                removed=",".join(sorted(before - after)),
                voters=len(after),
                learners=len(replica_set.learners),
            )
        for replica in (*replica_set.voters, *replica_set.learners):
            if replica.host_id not in self._peers.host_ids:
                self._spawn(self._peers.async_add(replica.host_id, replica.address, replica.port))

    @callback
    def _restore(self, snapshot: Snapshot) -> None:
        """Replace the state machine's state."""
        self._state_machine.restore(snapshot.state)
        self._applied = snapshot.index
        self._applied_bytes = 0
        self._accept_set(snapshot.replica_set)

    @callback
    def _take_snapshot_if_due(self) -> None:
        """Start to snapshot the state when the log has grown."""
        core = self._core
        if core is None or self._is_taking_snapshot or self._applied > core.commit:
            return
        is_long = self._applied - core.snapshot_index >= self._settings.snapshot_entries
        if not is_long and self._applied_bytes < SNAPSHOT_LOG_BYTES:
            return
        self._is_taking_snapshot = True
        self._applied_bytes = 0
        snapshot = core.make_snapshot(self._applied, self._state_machine.snapshot())
        self._spawn(self._async_save_snapshot(core, snapshot))

    async def _async_save_snapshot(self, core: ReplicaCore, snapshot: Snapshot) -> None:
        """Write a snapshot and let the core forget what it covers."""
        try:
            await self._writer.async_run(self._storage.save_snapshot, snapshot)
        except StorageError as error:
            # The log still holds everything, so the replica goes on.
            log_event(EventCode.STORAGE_FAILED, snapshot=snapshot.index, error=error)
            return
        finally:
            self._is_taking_snapshot = False
        log_event(EventCode.SNAPSHOT_TAKEN, index=snapshot.index, state_bytes=len(snapshot.state))
        core.compact(snapshot, self._settings.keep_entries)

    @callback
    def _schedule_flush(self) -> None:
        """Append what waits once the loop has gathered what arrives together."""
        if self._is_flushing or not self._proposals.has_waiting:
            return
        self._is_flushing = True
        asyncio.get_running_loop().call_soon(self._flush)

    @callback
    def _flush(self) -> None:
        """Append the commands that wait."""
        self._is_flushing = False
        core = self._core
        if core is None or core.role is not ReplicaRole.LEADER:
            self._proposals.refuse_all(self._leader_detail())
            return
        batch = self._proposals.take_batch(MAX_UNACCEPTED_BYTES)
        if not batch:
            return
        self._proposals.appended(batch, LogIndex(core.last_index + 1), core.term)
        commands = [proposal.command for proposal in batch]
        self._carry_out(core.propose(commands, self._clock.now()))

    async def _async_tick(self) -> None:
        """Let the core notice the time."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._core is not None:
                self._step(lambda core, now: core.tick(now))

    @callback
    def _step(self, call: Callable[[ReplicaCore, float], Output]) -> None:
        """Call the core; a core that contradicts itself is stopped for good."""
        core = self._core
        if core is None:
            return
        try:
            output = call(core, self._clock.now())
        except InvariantError as error:
            log_event(EventCode.COMPONENT_FAILED, component=self.name, error=error)
            self._stop_core()
            return
        self._carry_out(output)

    @callback
    def _take_push(self, host_id: HostId, message: ShellMessage) -> None:
        """Take a message of another host."""
        identity = self._identity
        if identity is None or self._core is None or message.version != PACKET_VERSION:
            return
        match message:
            case Packet(cluster_id=cluster_id) if cluster_id == identity.cluster_id:
                self._host_by_replica[message.message.sender] = host_id
                self._step(lambda core, now: core.step(message.message, now))
            case Packet(cluster_id=cluster_id) if identity.cluster_id == "":
                if message.message.receiver == identity.replica_id:
                    self._spawn(self._async_bind(cluster_id))
            case JoinRequest(cluster_id=cluster_id, replica=replica):
                is_own = cluster_id in ("", identity.cluster_id) and identity.cluster_id != ""
                if is_own and replica.host_id == host_id:
                    self._host_by_replica[replica.replica_id] = host_id
                    self._step(lambda core, now: core.add_learner(replica, now))
            case _:
                pass

    async def _async_take_call(self, channel: Channel[Any], message: ShellMessage) -> FormReply:
        """Answer a founder's question."""
        match message:
            case FormRequest(founder_id=founder_id, binds=True):
                standing = self._standing()
                if standing is not None and standing.is_empty:
                    await self._async_bind(founder_id)
            case _:
                pass
        standing = self._standing()
        if standing is None:
            own = self._settings.own_host
            unknown = Replica(ReplicaId(""), own.host_id, own.address, own.port)
            return FormReply(PACKET_VERSION, unknown, "", is_empty=False)
        cluster_id = standing.identity.cluster_id
        return FormReply(PACKET_VERSION, standing.replica, cluster_id, standing.is_empty)

    async def _async_bind(self, cluster_id: str) -> None:
        """Note for good which log this replica belongs to, unless it belongs to one."""
        async with self._binding:
            if self._known_identity().cluster_id == "":
                self._identity = await self._writer.async_run(self._storage.bind, cluster_id)

    async def _async_found(self, replica_set: ReplicaSet) -> None:
        """Begin a new log with this replica set."""
        await self._async_bind(self._known_identity().replica_id)
        state = await self._writer.async_run(self._storage.found, replica_set)
        self._replace_core(state)

    @callback
    def _standing(self) -> Standing | None:
        """Return where this replica stands, unless its disk has failed."""
        core, identity = self._core, self._identity
        if core is None or identity is None:
            return None
        own = self._settings.own_host
        replica = Replica(identity.replica_id, own.host_id, own.address, own.port)
        members = (*core.replica_set.voters, *core.replica_set.learners)
        is_member = any(member.replica_id == replica.replica_id for member in members)
        is_empty = core.term == 0 and core.last_index == 0
        return Standing(identity, replica, is_empty, is_member)

    @callback
    def _send(self, message: Any) -> None:
        """Send one message of the core."""
        host_id = self._host_of(message.receiver)
        if host_id is not None:
            cluster_id = self._known_identity().cluster_id
            self._peers.push(host_id, Packet(PACKET_VERSION, cluster_id, message))

    @callback
    def _announce_leadership(self) -> None:
        """Tell of a change of leadership."""
        core = self._core
        term = core.term if core is not None and core.is_term_ready else None
        if term != self._announced_term:
            self._announced_term = term
            self._tell_leadership(term)
        leader_id = None if core is None else core.leader_id
        if leader_id != self._announced_leader:
            self._announced_leader = leader_id
            self._log_leader(core)

    @callback
    def _tell_leadership(self, term: Term | None) -> None:
        """Call whoever follows this replica's leadership."""
        if term is None:
            self._proposals.refuse_all(self._leader_detail())
        self.on_leadership(term)

    @callback
    def _log_leader(self, core: ReplicaCore | None) -> None:
        """Log who leads now."""
        term = 0 if core is None else core.term
        if self._announced_leader is None:
            log_event(EventCode.LEADER_LOST, term=term)
            return
        log_event(
            EventCode.LEADER_ELECTED,
            term=term,
            leader=self._leader_host(),
            replica=self._announced_leader,
        )

    def _host_of(self, replica_id: ReplicaId) -> HostId | None:
        """Return the host of a replica, if known."""
        core = self._core
        if core is not None:
            for replica in (*core.replica_set.voters, *core.replica_set.learners):
                if replica.replica_id == replica_id:
                    return replica.host_id
        return self._host_by_replica.get(replica_id)

    def _leader_host(self) -> HostId | None:
        """Return the leader's host, if known."""
        core = self._core
        if core is None or core.leader_id is None:
            return None
        return self._host_of(core.leader_id)

    def _leader_detail(self) -> str:
        """Return the leader's host id for a refusal, empty if it isn't known."""
        return self._leader_host() or ""

    def _contact_ages(self, core: ReplicaCore) -> dict[HostId, float]:
        """Return how long ago each peer was heard."""
        now = self._clock.now()
        heard_at_by_id = core.heard_at_by_id()
        ages: dict[HostId, float] = {}
        for replica in (*core.replica_set.voters, *core.replica_set.learners):
            if replica.replica_id == core.replica_id:
                continue
            heard_at = heard_at_by_id.get(replica.replica_id)
            age = float("inf") if heard_at is None else now - heard_at
            ages[replica.host_id] = min(age, ages.get(replica.host_id, float("inf")))
        return ages

    def _is_leading(self) -> bool:
        """Return whether this replica leads, under a valid lease or not."""
        return self._core is not None and self._core.role is ReplicaRole.LEADER

    def _known_commit(self) -> LogIndex:
        """Return the last accepted entry known."""
        return LogIndex(0) if self._core is None else self._core.commit

    def _known_identity(self) -> DiskIdentity:
        """Return the identity of the disk, which has been read."""
        if self._identity is None:
            raise StorageError("the disk is not ready")
        return self._identity

    def _spawn(self, coroutine: Any) -> None:
        """Run a coroutine for the life of the component at most."""
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
