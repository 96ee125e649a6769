"""Detection of lost endpoints, on the leader and after a leader change."""

from __future__ import annotations

from lagoonwing_catalog.messages import AnnouncementReport, MarkEndpointLost
from lagoonwing_catalog.models import EndpointRecord, EndpointState
from lagoonwing_core.ids import EndpointId, FailureDomainId, ServiceId
from lagoonwing_registry._liveness import Liveness
from lagoonwing_registry.const import LEADER_GRACE_S, MAX_MISSED_ANNOUNCEMENTS

INTERVAL_S = 1.0
EXPIRY_S = INTERVAL_S * MAX_MISSED_ANNOUNCEMENTS
ENDPOINT_ID = EndpointId("e-1")


def _record(state: EndpointState = EndpointState.READY) -> EndpointRecord:
    """Return the record of an endpoint."""
    return EndpointRecord(
        ENDPOINT_ID, ServiceId("s"), "127.0.0.1", 80, FailureDomainId("d"), 4, state, 100, 3
    )


def test_leader_waits_for_grace_period() -> None:
    """A new leader first collects the announcements received by other replicas."""
    liveness = Liveness(INTERVAL_S)
    assert liveness.find_lost([_record()], 1_000.0) == ()
    liveness.set_leading_since(1_000.0)
    assert liveness.find_lost([_record()], 1_000.0 + LEADER_GRACE_S - 0.1) == ()
    expired_at = 1_000.0 + max(LEADER_GRACE_S, EXPIRY_S) + 0.1
    assert liveness.find_lost([_record()], expired_at) == (MarkEndpointLost(ENDPOINT_ID, 100, 3),)
    liveness.set_leading_since(None)
    assert liveness.find_lost([_record()], expired_at) == ()


def test_announcement_at_other_replica_keeps_endpoint_alive() -> None:
    """The command carries the last sequence number, so that older announcements are ignored."""
    liveness = Liveness(INTERVAL_S)
    liveness.set_leading_since(0.0)
    liveness.record_remote(AnnouncementReport({ENDPOINT_ID: (100, 9)}), 10.0)
    assert liveness.find_lost([_record()], 10.0 + EXPIRY_S - 0.1) == ()
    assert liveness.find_lost([_record()], 10.0 + EXPIRY_S + 0.1) == (
        MarkEndpointLost(ENDPOINT_ID, 100, 9),
    )


def test_outdated_announcement_is_ignored() -> None:
    """A sequence number lower than the last one doesn't extend liveness."""
    liveness = Liveness(INTERVAL_S)
    liveness.set_leading_since(0.0)
    liveness.record_announcement(ENDPOINT_ID, 100, 9, 10.0)
    liveness.record_announcement(ENDPOINT_ID, 100, 8, 12.0)
    assert liveness.find_lost([_record()], 10.0 + EXPIRY_S + 0.1)


def test_left_endpoint_is_not_marked_lost() -> None:
    """Endpoints that have left don't announce themselves any more."""
    liveness = Liveness(INTERVAL_S)
    liveness.set_leading_since(0.0)
    assert liveness.find_lost([_record(EndpointState.LEFT)], 100.0) == ()


def test_announcements_are_reported_once() -> None:
    """A replica reports each announcement to the leader once."""
    liveness = Liveness(INTERVAL_S)
    liveness.record_announcement(ENDPOINT_ID, 100, 4, 1.0)
    assert liveness.take_report() == AnnouncementReport({ENDPOINT_ID: (100, 4)})
    assert liveness.take_report() is None
