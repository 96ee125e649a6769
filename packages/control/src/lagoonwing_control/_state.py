"""Tables of the control state and their snapshot encoding."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

import msgspec
from sortedcontainers import SortedDict

from lagoonwing_control.models import (
    Allotment,
    ChangeRecord,
    ClaimRecord,
    EntityKind,
    HistoryEvent,
    RegisterEntry,
)
from lagoonwing_core.ids import (
    ChangeId,
    HostId,
    IdempotencyKey,
    Incarnation,
    MemberId,
    Revision,
    Term,
)
from lagoonwing_core.models import (
    Agreement,
    CapDimension,
    ConfigurationEntry,
    Entity,
    Member,
    PlannedStop,
    Quarantine,
)

AllotmentKey = tuple[HostId, MemberId, CapDimension]
ClaimKey = tuple[MemberId, IdempotencyKey]
ChangeKey = tuple[int, str, ChangeId]

SNAPSHOT_VERSION = 1


def _empty_tables() -> dict[EntityKind, SortedDict]:
    return {kind: SortedDict() for kind in EntityKind}


@dataclass(slots=True)
class State:
    """Complete state that commands of the replicated log change.

    Attributes:
        revision: Number of accepted entity changes.
        clock_ms: Replicated clock: highest timestamp of any batch, in milliseconds since the epoch.
        change_by_key: Recorded results, ordered by the time in their change id.
        expired_before_ms: Unrecorded change ids with an earlier time are refused as expired.
        claim_by_key: Claims, least recently updated first.
        claim_bytes: Total body size of the stored answers.
        allotment_term: Term of the last leader that set allotments.
        fencing_by_scope: Last allocated fencing number per scope.
    """

    revision: Revision = Revision(0)
    clock_ms: int = 0
    entity_by_id_by_kind: dict[EntityKind, SortedDict] = field(default_factory=_empty_tables)
    change_by_key: SortedDict = field(default_factory=SortedDict)
    expired_before_ms: int = 0
    claim_by_key: OrderedDict[ClaimKey, ClaimRecord] = field(default_factory=OrderedDict)
    claim_bytes: int = 0
    amount_by_allotment: dict[AllotmentKey, float] = field(default_factory=dict)
    allotment_term: Term = Term(0)
    incarnation_by_entry: dict[HostId, Incarnation] = field(default_factory=dict)
    fencing_by_scope: dict[str, int] = field(default_factory=dict)

    def entity(self, kind: EntityKind, entity_id: str) -> Entity | None:
        """Return one entity, if it exists."""
        found: Entity | None = self.entity_by_id_by_kind[kind].get(entity_id)
        return found

    def put(self, entity: Entity) -> None:
        """Add or replace an entity."""
        self.entity_by_id_by_kind[kind_of(entity)][id_of(entity)] = entity

    def remove(self, kind: EntityKind, entity_id: str) -> None:
        """Remove an entity, if it exists."""
        self.entity_by_id_by_kind[kind].pop(entity_id, None)

    def members(self) -> list[Member]:
        """Return every member."""
        return list(self.entity_by_id_by_kind[EntityKind.MEMBER].values())

    def agreements(self) -> list[Agreement]:
        """Return every agreement."""
        return list(self.entity_by_id_by_kind[EntityKind.AGREEMENT].values())

    def stops(self) -> list[PlannedStop]:
        """Return every planned stop."""
        return list(self.entity_by_id_by_kind[EntityKind.STOP].values())

    def quarantines(self) -> list[Quarantine]:
        """Return every quarantine."""
        return list(self.entity_by_id_by_kind[EntityKind.QUARANTINE].values())


def kind_of(entity: Entity) -> EntityKind:
    """Return the kind of an entity."""
    match entity:
        case Member():
            return EntityKind.MEMBER
        case Agreement():
            return EntityKind.AGREEMENT
        case ConfigurationEntry():
            return EntityKind.CONFIGURATION
        case PlannedStop():
            return EntityKind.STOP
        case Quarantine():
            return EntityKind.QUARANTINE


def id_of(entity: Entity) -> str:
    """Return the id of an entity, unique within its kind."""
    match entity:
        case Member():
            return entity.member_id
        case Agreement():
            return entity.agreement_id
        case ConfigurationEntry():
            return entity.key
        case PlannedStop():
            return entity.stop_id
        case Quarantine():
            return entity.fingerprint


class _Snapshot(msgspec.Struct, frozen=True):
    """Encoding of the state and the recent history."""

    version: int
    revision: Revision
    clock_ms: int
    entities: tuple[Entity, ...]
    changes: tuple[ChangeRecord, ...]
    expired_before_ms: int
    claims: tuple[ClaimRecord, ...]
    allotments: tuple[Allotment, ...]
    allotment_term: Term
    entries: tuple[RegisterEntry, ...]
    fencing_by_scope: dict[str, int]
    history: tuple[HistoryEvent, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Snapshot)


def encode_snapshot(state: State, history: tuple[HistoryEvent, ...]) -> bytes:
    """Return the state and the recent history as bytes."""
    tables: list[Any] = list(state.entity_by_id_by_kind.values())
    snapshot = _Snapshot(
        version=SNAPSHOT_VERSION,
        revision=state.revision,
        clock_ms=state.clock_ms,
        entities=tuple(entity for table in tables for entity in table.values()),
        changes=tuple(state.change_by_key.values()),
        expired_before_ms=state.expired_before_ms,
        claims=tuple(state.claim_by_key.values()),
        allotments=tuple(
            Allotment(host_id, member_id, dimension, amount)
            for (host_id, member_id, dimension), amount in sorted(
                state.amount_by_allotment.items(),
                key=lambda item: (item[0][0], item[0][1], item[0][2].value),
            )
        ),
        allotment_term=state.allotment_term,
        entries=tuple(
            RegisterEntry(host_id, incarnation)
            for host_id, incarnation in sorted(state.incarnation_by_entry.items())
        ),
        fencing_by_scope=dict(sorted(state.fencing_by_scope.items())),
        history=history,
    )
    return _ENCODER.encode(snapshot)


def decode_snapshot(payload: bytes) -> tuple[State, tuple[HistoryEvent, ...]]:
    """Return the state and the recent history from a snapshot.

    Raises:
        msgspec.MsgspecError: The payload is not a valid snapshot.
        ValueError: The snapshot version is not supported.
    """
    snapshot = _DECODER.decode(payload)
    if snapshot.version != SNAPSHOT_VERSION:
        raise ValueError(f"unsupported snapshot version {snapshot.version}")
    state = State(
        revision=snapshot.revision,
        clock_ms=snapshot.clock_ms,
        expired_before_ms=snapshot.expired_before_ms,
        allotment_term=snapshot.allotment_term,
        fencing_by_scope=dict(snapshot.fencing_by_scope),
    )
    for entity in snapshot.entities:
        state.put(entity)
    for record in snapshot.changes:
        state.change_by_key[(record.stamp_ms, record.operator, record.change_id)] = record
    for claim in snapshot.claims:
        state.claim_by_key[(claim.member_id, claim.key)] = claim
        state.claim_bytes += 0 if claim.answer is None else len(claim.answer.body)
    for allotment in snapshot.allotments:
        key = (allotment.host_id, allotment.member_id, allotment.dimension)
        state.amount_by_allotment[key] = allotment.amount
    for entry in snapshot.entries:
        state.incarnation_by_entry[entry.host_id] = entry.incarnation
    return state, snapshot.history
