"""Deduplication of operators' changes by change id.

A change id begins with its creation time. A recorded id is answered with its first result. An
unrecorded id older than the retention limit can't be distinguished from one whose record was
deleted, so it is refused as expired and never treated as new.
"""

from __future__ import annotations

import hashlib
import re

import msgspec

from lagoonwing_control._state import State
from lagoonwing_control.const import (
    CHANGE_ID_RETENTION_MS,
    MAX_CHANGE_ID_AHEAD_MS,
    MAX_CHANGE_IDS,
    MAX_ID_LENGTH,
)
from lagoonwing_control.models import ChangeAccepted, ChangeRecord, OperatorChange
from lagoonwing_core.ids import ChangeId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_wire.control_messages import Refused

_CHANGE_ID = re.compile(r"(\d{1,15})-[A-Za-z0-9._-]+")
_ENCODER = msgspec.msgpack.Encoder()


def change_id_time_ms(change_id: ChangeId) -> int | None:
    """Return the creation time in a change id, or `None` if the id is malformed."""
    if len(change_id) > MAX_ID_LENGTH:
        return None
    match = _CHANGE_ID.fullmatch(change_id)
    return int(match.group(1)) if match else None


def recorded_answer(state: State, command: OperatorChange) -> ChangeAccepted | Refused | None:
    """Return the recorded result or the refusal of a change id; `None` if the id is new."""
    stamp_ms = change_id_time_ms(command.change_id)
    if stamp_ms is None:
        detail = "a change id is MILLISECONDS-SUFFIX with letters, digits, '.', '_' and '-'"
        return Refused(ResultCode.INVALID_CHANGE, detail)
    record: ChangeRecord | None = state.change_by_key.get(
        (stamp_ms, command.operator, command.change_id)
    )
    if record is not None:
        return _replay_answer(record, command)
    if stamp_ms < state.expired_before_ms:
        detail = "the change id is past its retention; whether it was accepted is not kept"
        return Refused(ResultCode.CHANGE_ID_EXPIRED, detail)
    if stamp_ms > state.clock_ms + MAX_CHANGE_ID_AHEAD_MS:
        return Refused(ResultCode.INVALID_CHANGE, "the change id's time lies in the future")
    return None


def record_answer(state: State, command: OperatorChange, result: ChangeAccepted | Refused) -> None:
    """Record the result of a change id for which `recorded_answer` returned `None`."""
    stamp_ms = change_id_time_ms(command.change_id)
    assert stamp_ms is not None
    record = ChangeRecord(
        operator=command.operator,
        change_id=command.change_id,
        stamp_ms=stamp_ms,
        digest=_digest(command),
        result=result,
    )
    state.change_by_key[(stamp_ms, command.operator, command.change_id)] = record


def expire_change_ids(state: State) -> None:
    """Delete results past the retention limits on age and count.

    Deleting by count also raises the age limit, so that a deleted id is refused as expired.
    """
    expiry_ms = state.clock_ms - CHANGE_ID_RETENTION_MS
    excess = len(state.change_by_key) - MAX_CHANGE_IDS
    if excess > 0:
        oldest_stamp_ms = state.change_by_key.peekitem(excess - 1)[0][0]
        expiry_ms = max(expiry_ms, oldest_stamp_ms + 1)
    state.expired_before_ms = max(state.expired_before_ms, expiry_ms)
    while state.change_by_key:
        stamp_ms = state.change_by_key.peekitem(0)[0][0]
        if stamp_ms >= state.expired_before_ms:
            return
        state.change_by_key.popitem(0)


def _replay_answer(record: ChangeRecord, command: OperatorChange) -> ChangeAccepted | Refused:
    """Return the first result if the change is the same."""
    if record.digest != _digest(command):
        return Refused(ResultCode.CHANGE_ID_REUSED, "the change id was used for another change")
    match record.result:
        case ChangeAccepted() as accepted:
            return msgspec.structs.replace(accepted, replayed=True)
        case refused:
            return refused


def _digest(command: OperatorChange) -> bytes:
    """Return the digest of a change and its expected revision."""
    return hashlib.sha256(_ENCODER.encode((command.expected, command.change))).digest()
