"""Validation of operators' changes and construction of the resulting entities."""

from __future__ import annotations

import math
import re

import msgspec
from expression import Error, Ok, Result

from lagoonwing_control._state import State
from lagoonwing_control.const import (
    MAX_ENTITIES_PER_KIND,
    MAX_ID_LENGTH,
    MAX_KEYS_PER_MEMBER,
    MAX_NAME_LENGTH,
    MAX_VALUE_LENGTH,
)
from lagoonwing_control.models import (
    Change,
    EntityKind,
    OperatorChange,
    OrderStop,
    PutAgreement,
    PutMember,
    Retire,
    SetConfiguration,
)
from lagoonwing_core.ids import Fingerprint, Revision
from lagoonwing_core.models import (
    Agreement,
    ConfigurationEntry,
    Entity,
    EntityState,
    Member,
    PlannedStop,
    Quarantine,
    QuarantineState,
    StopState,
)
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_wire.control_messages import Refused

_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]*")
_KEY_HASH = re.compile(r"[0-9a-f]{64}")


def evaluate_change(state: State, command: OperatorChange) -> Result[Entity, Refused]:
    """Return the entity that results from a change, or why the change is refused."""
    kind, entity_id = changed_entity(command.change)
    current = state.entity(kind, entity_id)
    refusal = _check_expected(current, command)
    if refusal is None:
        refusal = _check_body(state, command.change, current)
    if refusal is not None:
        return Error(refusal)
    return _apply_change(command.change, current, Revision(state.revision + 1))


def _apply_change(
    change: Change, current: Entity | None, revision: Revision
) -> Result[Entity, Refused]:
    """Return the entity that results from a valid change."""
    match change:
        case PutMember():
            return Ok(
                Member(
                    member_id=change.member_id,
                    name=change.name,
                    key_hashes=change.key_hashes,
                    state=EntityState.ACTIVE,
                    revision=revision,
                )
            )
        case PutAgreement():
            return Ok(
                Agreement(
                    agreement_id=change.agreement_id,
                    member_id=change.member_id,
                    weight=change.weight,
                    max_concurrency=change.max_concurrency,
                    max_requests_per_s=change.max_requests_per_s,
                    max_tokens_per_s=change.max_tokens_per_s,
                    state=EntityState.ACTIVE,
                    revision=revision,
                )
            )
        case SetConfiguration():
            return Ok(ConfigurationEntry(key=change.key, value=change.value, revision=revision))
        case OrderStop():
            return Ok(
                PlannedStop(
                    stop_id=change.stop_id,
                    target=change.target,
                    target_id=change.target_id,
                    state=StopState.DRAINING,
                    revision=revision,
                )
            )
        case Retire():
            return _retire(current, revision)


def changed_entity(change: Change) -> tuple[EntityKind, str]:
    """Return the kind and id of the entity that a change affects."""
    match change:
        case PutMember():
            return EntityKind.MEMBER, change.member_id
        case PutAgreement():
            return EntityKind.AGREEMENT, change.agreement_id
        case SetConfiguration():
            return EntityKind.CONFIGURATION, change.key
        case OrderStop():
            return EntityKind.STOP, change.stop_id
        case Retire():
            return change.kind, change.entity_id


def _check_expected(current: Entity | None, command: OperatorChange) -> Refused | None:
    """Refuse a change whose expected revision is not the current one."""
    revision = Revision(0) if current is None else current.revision
    if revision == command.expected:
        return None
    if current is None:
        return Refused(ResultCode.UNKNOWN_ENTITY, "the entity does not exist")
    if command.expected == 0:
        return Refused(ResultCode.ALREADY_EXISTS, f"the entity exists at revision {revision}")
    detail = f"the entity is at revision {revision}, not {command.expected}"
    return Refused(ResultCode.REVISION_CONFLICT, detail)


def _check_body(state: State, change: Change, current: Entity | None) -> Refused | None:
    """Refuse a change that is malformed or inconsistent with other entities."""
    kind, entity_id = changed_entity(change)
    error = _id_error(entity_id)
    if current is None and len(state.entity_by_id_by_kind[kind]) >= MAX_ENTITIES_PER_KIND:
        error = "too many entities of this kind"
    if _is_final(current):
        error = "the entity is retired, and an id is never used again"
    if error is None:
        error = _body_error(state, change, current)
    return None if error is None else Refused(ResultCode.INVALID_CHANGE, error)


def _body_error(state: State, change: Change, current: Entity | None) -> str | None:
    """Return an error message for an invalid change, or `None`."""
    match change:
        case PutMember():
            return _member_error(state, change)
        case PutAgreement():
            return _agreement_error(state, change, current)
        case SetConfiguration() if len(change.value) > MAX_VALUE_LENGTH:
            return f"a value has at most {MAX_VALUE_LENGTH} characters"
        case OrderStop() if current is not None:
            return "a stop can be ordered once and then cancelled"
        case OrderStop():
            return _id_error(change.target_id)
        case Retire() if current is None:
            return "the entity does not exist"
        case Retire() if change.kind is EntityKind.CONFIGURATION:
            return "a configuration key is changed, not retired"
        case _:
            return None


def _is_final(current: Entity | None) -> bool:
    """Return whether an entity is in a terminal state."""
    match current:
        case Member(state=EntityState.RETIRED) | Agreement(state=EntityState.RETIRED):
            return True
        case PlannedStop(state=StopState.CANCELLED):
            return True
        case _:
            return False


def _id_error(entity_id: str) -> str | None:
    """Return an error message for an invalid id, or `None`."""
    if len(entity_id) > MAX_ID_LENGTH or not _ID.fullmatch(entity_id):
        return f"an id has 1 to {MAX_ID_LENGTH} letters, digits and '._:/-'"
    return None


def _member_error(state: State, change: PutMember) -> str | None:
    """Return an error message for an invalid member, or `None`."""
    if len(change.name) > MAX_NAME_LENGTH:
        return f"a name has at most {MAX_NAME_LENGTH} characters"
    if len(change.key_hashes) > MAX_KEYS_PER_MEMBER:
        return f"a member has at most {MAX_KEYS_PER_MEMBER} keys"
    if not all(_KEY_HASH.fullmatch(key_hash) for key_hash in change.key_hashes):
        return "a key hash is a SHA-256 digest of 64 lower-case hexadecimal digits"
    used_hashes = {
        key_hash
        for member in state.members()
        if member.member_id != change.member_id and member.state is EntityState.ACTIVE
        for key_hash in member.key_hashes
    }
    if used_hashes.intersection(change.key_hashes):
        return "another member has this key"
    return None


def _agreement_error(state: State, change: PutAgreement, current: Entity | None) -> str | None:
    """Return an error message for an invalid agreement, or `None`."""
    caps = (change.max_concurrency, change.max_requests_per_s, change.max_tokens_per_s)
    if not math.isfinite(change.weight) or change.weight <= 0:
        return "a weight is above 0"
    if any(cap is not None and not (math.isfinite(cap) and cap >= 0) for cap in caps):
        return "a cap is at least 0"
    member = state.entity(EntityKind.MEMBER, change.member_id)
    if not isinstance(member, Member) or member.state is EntityState.RETIRED:
        return "the member does not exist or is retired"
    if isinstance(current, Agreement) and current.member_id != change.member_id:
        return "an agreement stays with its member"
    for agreement in state.agreements():
        same_member = agreement.member_id == change.member_id
        is_other = agreement.agreement_id != change.agreement_id
        if same_member and is_other and agreement.state is EntityState.ACTIVE:
            return f"the member has the agreement {agreement.agreement_id} already"
    return None


def _retire(current: Entity | None, revision: Revision) -> Result[Entity, Refused]:
    """Return an entity in its terminal state."""
    match current:
        case Member() | Agreement():
            retired = msgspec.structs.replace(current, state=EntityState.RETIRED, revision=revision)
            return Ok(retired)
        case PlannedStop():
            return Ok(
                msgspec.structs.replace(current, state=StopState.CANCELLED, revision=revision)
            )
        case Quarantine():
            return Ok(cleared_quarantine(current.fingerprint, revision))
        case _:
            return Error(Refused(ResultCode.INVALID_CHANGE, "the entity can't be retired"))


def cleared_quarantine(fingerprint: Fingerprint, revision: Revision) -> Quarantine:
    """Return a quarantine in the cleared state."""
    return Quarantine(
        fingerprint=fingerprint, state=QuarantineState.CLEARED, deaths=(), revision=revision
    )
