"""Limits that endpoints named, merged between gateways."""

from __future__ import annotations

import msgspec
import pytest

from lagoonwing_catalog import LimitLedger
from lagoonwing_catalog.const import LIFTED_LIMIT_TTL_S
from lagoonwing_catalog.models import EndpointRecord, EndpointState
from lagoonwing_core.ids import EndpointId, FailureDomainId, ServiceId

RECORD = EndpointRecord(
    EndpointId("e-1"),
    ServiceId("s"),
    "127.0.0.1",
    1,
    FailureDomainId("d-1"),
    8,
    EndpointState.READY,
    1,
    1,
)
RESTARTED = msgspec.structs.replace(RECORD, started_ms=2)


def _ledger(rate: float | None, at: float, record: EndpointRecord = RECORD) -> LimitLedger:
    """Return a ledger that has seen a limit, and then a response with the given one."""
    ledger = LimitLedger()
    ledger.observe(record, 9.0, at - 1.0)
    ledger.observe(record, rate, at)
    return ledger


@pytest.mark.parametrize("rate", [None, 0.0, 0.5, 3.0])
def test_later_response_wins_in_either_direction(rate: float | None) -> None:
    """Two ledgers agree on the later response, whichever hears of the other first."""
    earlier, later = _ledger(1.0, 10.0), _ledger(rate, 11.0)
    now = 12.0
    earlier_extract = earlier.extract(now)
    earlier.merge(later.extract(now), now)
    later.merge(earlier_extract, now)
    assert earlier.rate(RECORD) == later.rate(RECORD) == rate


def test_outdated_sender_is_told() -> None:
    """A ledger that gets older news has something to send."""
    earlier, later = _ledger(1.0, 10.0), _ledger(None, 11.0)
    version = later.version
    later.merge(earlier.extract(12.0), 12.0)
    assert later.version > version


def test_limit_of_a_former_incarnation_does_not_hold() -> None:
    """A restarted endpoint has no limit until it names one."""
    ledger = _ledger(1.0, 10.0)
    assert ledger.rate(RESTARTED) is None
    ledger.discard_gone({RECORD.endpoint_id: RESTARTED})
    assert len(ledger) == 0


def test_limit_of_a_later_incarnation_is_kept() -> None:
    """The catalog may hear of a restart later than the ledger."""
    ledger = _ledger(1.0, 10.0, RESTARTED)
    ledger.discard_gone({RECORD.endpoint_id: RECORD})
    assert ledger.rate(RESTARTED) == 1.0


def test_end_of_a_limit_is_forgotten_after_a_while() -> None:
    """Only limits in force are kept for ever."""
    ended, in_force = _ledger(None, 10.0), _ledger(1.0, 10.0)
    for ledger in (ended, in_force):
        ledger.expire(10.0 + LIFTED_LIMIT_TTL_S + 1.0)
    assert (len(ended), len(in_force)) == (0, 1)
