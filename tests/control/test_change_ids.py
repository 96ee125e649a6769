"""Change ids: resent changes, retention and limits."""

from __future__ import annotations

import pytest
from state_machine_support import START_MS, refusal_code

from lagoonwing_control import _change_ids
from lagoonwing_control.const import (
    CHANGE_ID_RETENTION_MS,
    MAX_CHANGE_ID_AHEAD_MS,
)
from lagoonwing_control.models import (
    OperatorChange,
    SetConfiguration,
)
from lagoonwing_core.ids import (
    ChangeId,
    Revision,
)
from lagoonwing_core.result_codes import ResultCode


def test_resent_change_gets_its_first_result_at_any_replica(replica) -> None:
    """Holds after later changes, after a restore, and if the first result was a refusal."""
    change_id = f"{START_MS}-x"
    first = replica.set("a", "1", 0, change_id)
    refused = replica.set("a", "1", 7, f"{START_MS}-y")
    replica.set("a", "2", 1)
    for each in (replica, replica.copy(), replica.copy().copy()):
        again = each.set("a", "1", 0, change_id)
        assert (again.revision, again.entity, again.replayed) == (1, first.entity, True)
        assert each.set("a", "1", 7, f"{START_MS}-y") == refused
        assert refusal_code(each.set("a", "9", 0, change_id)) is ResultCode.CHANGE_ID_REUSED
        assert each.machine.state.revision == 2


def test_change_id_past_retention_is_refused_as_expired(replica) -> None:
    """An id past its retention is never treated as new, whether it was used or not."""
    change_id = f"{START_MS}-x"
    replica.set("a", "1", 0, change_id)
    replica.now_ms = START_MS + CHANGE_ID_RETENTION_MS
    assert replica.set("a", "1", 0, change_id).replayed
    replica.now_ms += 1
    assert refusal_code(replica.set("a", "1", 0, change_id)) is ResultCode.CHANGE_ID_EXPIRED
    assert refusal_code(replica.set("b", "1", 0, change_id)) is ResultCode.CHANGE_ID_EXPIRED
    replica.now_ms = START_MS
    assert refusal_code(replica.set("b", "1", 0, change_id)) is ResultCode.CHANGE_ID_EXPIRED
    assert refusal_code(replica.copy().set("b", "1", 0, change_id)) is ResultCode.CHANGE_ID_EXPIRED


def test_count_limit_of_change_ids_survives_a_restore(replica, monkeypatch) -> None:
    """A change id deleted because of the count limit stays refused after a restore."""
    monkeypatch.setattr(_change_ids, "MAX_CHANGE_IDS", 2)
    for number in range(5):
        replica.set(f"k{number}", "1", 0, f"{START_MS + number}-x")
    monkeypatch.setattr(_change_ids, "MAX_CHANGE_IDS", 100)
    other = replica.copy()
    assert refusal_code(other.set("new", "1", 0, f"{START_MS}-x")) is ResultCode.CHANGE_ID_EXPIRED


def test_change_ids_beyond_the_count_limit_are_refused_as_expired(replica, monkeypatch) -> None:
    """Deleting ids by count raises the age limit, so that a deleted id is never treated as new."""
    monkeypatch.setattr(_change_ids, "MAX_CHANGE_IDS", 3)
    for number in range(6):
        replica.set(f"k{number}", "1", 0, f"{START_MS + number}-x")
    replica.set("k9", "1", 0, f"{START_MS + 9}-x")
    assert refusal_code(replica.set("k0", "1", 0, f"{START_MS}-x")) is ResultCode.CHANGE_ID_EXPIRED
    assert (
        refusal_code(replica.set("new", "1", 0, f"{START_MS + 1}-y"))
        is ResultCode.CHANGE_ID_EXPIRED
    )
    assert replica.set("k5", "1", 0, f"{START_MS + 5}-x").replayed


@pytest.mark.parametrize("change_id", ["", "x", "-x", "12", f"{START_MS}-", f"{START_MS}-a b"])
def test_malformed_change_id_is_refused(replica, change_id: str) -> None:
    """Without a timestamp, an id could not be distinguished from an expired one."""
    change = OperatorChange("ana", ChangeId(change_id), Revision(0), SetConfiguration("a", "1"))
    assert refusal_code(replica.apply(change)) is ResultCode.INVALID_CHANGE


def test_change_id_from_the_future_is_refused(replica) -> None:
    """An id with a future timestamp would outlive the retention."""
    ahead = f"{START_MS + MAX_CHANGE_ID_AHEAD_MS + 1}-x"
    assert refusal_code(replica.set("a", "1", 0, ahead)) is ResultCode.INVALID_CHANGE
