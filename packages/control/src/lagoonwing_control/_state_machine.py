"""Deterministic state machine of the replicated log, without I/O."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lagoonwing_control._change_ids import expire_change_ids, record_answer, recorded_answer
from lagoonwing_control._changes import evaluate_change
from lagoonwing_control._claims import expire_claims, release_claim, store_outcome, take_claim
from lagoonwing_control._history import History
from lagoonwing_control._quarantines import clear_suspect, evict_oldest_suspects, report_suspects
from lagoonwing_control._state import State, decode_snapshot, encode_snapshot, id_of, kind_of
from lagoonwing_control.const import MAX_HISTORY_EVENTS
from lagoonwing_control.models import (
    Batch,
    ChangeAccepted,
    Claim,
    Command,
    CommandResult,
    EntityKind,
    FencingTaken,
    ForgetEntry,
    HistoryEvent,
    MarkStopSafe,
    OperatorChange,
    RegisterEntry,
    SetAllotments,
    TakeFencing,
)
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import HostId, LogIndex, Revision
from lagoonwing_core.models import (
    Entity,
    PlannedStop,
    Quarantine,
    QuarantineState,
    StopState,
)
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_wire.control_messages import (
    ClearSuspect,
    Done,
    Refused,
    ReleaseClaim,
    ReportSuspects,
    StoreOutcome,
)

_ENCODER = msgspec.msgpack.Encoder()
_BATCH_DECODER = msgspec.msgpack.Decoder(Batch)
_RESULTS_DECODER = msgspec.msgpack.Decoder(tuple[CommandResult, ...])


def encode_batch(batch: Batch) -> bytes:
    """Encode a batch as the command of a log entry."""
    return _ENCODER.encode(batch)


def decode_results(answer: bytes) -> tuple[CommandResult, ...]:
    """Decode the results of a batch, in command order."""
    return _RESULTS_DECODER.decode(answer)


class ControlStateMachine:
    """Applies batches of commands to the state.

    Attributes:
        state: Current state; changed only by `apply` and `restore`.
        history: Recent entity changes.
        on_applied: Called after each batch that raised the revision and after a restore.
    """

    def __init__(self, on_applied: Callable[[], None] = lambda: None) -> None:
        self.state = State()
        self.history = History(MAX_HISTORY_EVENTS)
        self.on_applied = on_applied

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply one batch and return the encoded results of its commands."""
        batch = _BATCH_DECODER.decode(command)
        previous_revision = self.state.revision
        self.state.clock_ms = max(self.state.clock_ms, batch.stamp_ms)
        expire_change_ids(self.state)
        expire_claims(self.state)
        results = tuple(self._apply(item) for item in batch.commands)
        if self.state.revision != previous_revision:
            self.on_applied()
        return _ENCODER.encode(results)

    def snapshot(self) -> bytes:
        """Return the state and the recent history as a snapshot."""
        return encode_snapshot(self.state, self.history.events())

    def restore(self, snapshot: bytes) -> None:
        """Replace the state and the history with those of a snapshot."""
        self.state, events = decode_snapshot(snapshot)
        self.history.restore(events, self.state.revision)
        self.on_applied()

    def _apply(self, command: Command) -> CommandResult:
        """Apply one command."""
        match command:
            case OperatorChange():
                return self._apply_change(command)
            case Claim():
                return take_claim(self.state, command)
            case StoreOutcome():
                return store_outcome(self.state, command)
            case ReleaseClaim():
                return release_claim(self.state, HostId(""), command)
            case SetAllotments():
                return self._set_allotments(command)
            case RegisterEntry():
                return self._register_entry(command)
            case ForgetEntry():
                return self._forget_entry(command)
            case MarkStopSafe():
                return self._mark_stop_safe(command)
            case ReportSuspects():
                self._accept_all(report_suspects(self.state, command))
                self._accept_all(evict_oldest_suspects(self.state))
                return Done()
            case ClearSuspect():
                self._accept_all(clear_suspect(self.state, command))
                return Done()
            case TakeFencing():
                return self._take_fencing(command)

    def _apply_change(self, command: OperatorChange) -> ChangeAccepted | Refused:
        """Apply an operator's change at most once per change id."""
        recorded = recorded_answer(self.state, command)
        if recorded is not None:
            return recorded
        decision = evaluate_change(self.state, command)
        result: ChangeAccepted | Refused
        if decision.is_ok():
            self._accept(decision.ok)
            result = ChangeAccepted(self.state.revision, decision.ok)
        else:
            result = decision.error
        record_answer(self.state, command, result)
        return result

    def _accept_all(self, entities: list[Quarantine]) -> None:
        """Accept changed quarantines in order."""
        for entity in entities:
            self._accept(entity)

    def _accept(self, entity: Entity) -> None:
        """Store an entity at the next revision and append the change to the history."""
        self.state.revision = Revision(self.state.revision + 1)
        match entity:
            case Quarantine(state=QuarantineState.CLEARED):
                self.state.remove(EntityKind.QUARANTINE, entity.fingerprint)
            case _:
                self.state.put(entity)
        self.history.append(HistoryEvent(self.state.revision, entity))
        log_event(
            EventCode.CHANGE_ACCEPTED,
            revision=self.state.revision,
            kind=kind_of(entity).name.lower(),
            id=id_of(entity),
        )
        _log_stop(entity)

    def _set_allotments(self, command: SetAllotments) -> Done | Refused:
        """Set allotments unless a later leader has already set some."""
        if command.term < self.state.allotment_term:
            return Refused(ResultCode.NOT_LEADER, "a later leader divides the caps")
        self.state.allotment_term = command.term
        for allotment in command.allotments:
            key = (allotment.host_id, allotment.member_id, allotment.dimension)
            if allotment.amount > 0:
                self.state.amount_by_allotment[key] = allotment.amount
            else:
                self.state.amount_by_allotment.pop(key, None)
        return Done()

    def _register_entry(self, command: RegisterEntry) -> Done:
        """Record an entry host's latest incarnation."""
        registered = self.state.incarnation_by_entry.get(command.host_id)
        if registered is None or registered < command.incarnation:
            self.state.incarnation_by_entry[command.host_id] = command.incarnation
        return Done()

    def _forget_entry(self, command: ForgetEntry) -> Done:
        """Remove an entry host unless it has returned with a newer incarnation."""
        if self.state.incarnation_by_entry.get(command.host_id) == command.incarnation:
            del self.state.incarnation_by_entry[command.host_id]
        return Done()

    def _mark_stop_safe(self, command: MarkStopSafe) -> Done:
        """Mark a draining stop safe, unless the stop has changed since."""
        stop = self.state.entity(EntityKind.STOP, command.stop_id)
        if not isinstance(stop, PlannedStop) or stop.revision != command.ordered:
            return Done()
        if stop.state is StopState.DRAINING:
            safe = msgspec.structs.replace(
                stop, state=StopState.SAFE, revision=Revision(self.state.revision + 1)
            )
            self._accept(safe)
        return Done()

    def _take_fencing(self, command: TakeFencing) -> FencingTaken:
        """Allocate the next fencing number of a scope."""
        number = self.state.fencing_by_scope.get(command.scope, 0) + 1
        self.state.fencing_by_scope[command.scope] = number
        return FencingTaken(number)


def _log_stop(entity: Entity) -> None:
    """Log that a planned stop was ordered or cancelled."""
    match entity:
        case PlannedStop(state=StopState.DRAINING):
            log_event(
                EventCode.STOP_ORDERED,
                stop=entity.stop_id,
                target=entity.target.value,
                target_id=entity.target_id,
            )
        case PlannedStop(state=StopState.CANCELLED):
            log_event(EventCode.STOP_CANCELLED, stop=entity.stop_id)
        case _:
            pass
