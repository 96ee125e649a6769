"""Who counts as lost, on the leader and after a change of leader."""

from __future__ import annotations

from lagoonwing_catalog.messages import AnnouncementReport, MarkEndpointLost
from lagoonwing_catalog.models import EndpointRecord, EndpointState
from lagoonwing_core.ids import EndpointId, FailureDomainId, ServiceId
from lagoonwing_registry._liveness import Liveness
from lagoonwing_registry.const import LEADER_GRACE_S, MISSED_ANNOUNCEMENTS

INTERVAL_S = 1.0
SILENCE_S = INTERVAL_S * MISSED_ANNOUNCEMENTS
ONE = EndpointId("e-1")


def _record(state: EndpointState = EndpointState.READY) -> EndpointRecord:
    """Return the record of an endpoint."""
    return EndpointRecord(
        ONE, ServiceId("s"), "127.0.0.1", 80, FailureDomainId("d"), 4, state, 100, 3
    )


def test_only_a_leader_of_some_time_judges() -> None:
    """A new leader waits for news of what other replicas have heard."""
    liveness = Liveness(INTERVAL_S)
    assert liveness.lost([_record()], 1_000.0) == ()
    liveness.lead(1_000.0)
    assert liveness.lost([_record()], 1_000.0 + LEADER_GRACE_S - 0.1) == ()
    late = 1_000.0 + max(LEADER_GRACE_S, SILENCE_S) + 0.1
    assert liveness.lost([_record()], late) == (MarkEndpointLost(ONE, 100, 3),)
    liveness.lead(None)
    assert liveness.lost([_record()], late) == ()


def test_news_from_other_replicas_keep_an_endpoint() -> None:
    """The number of the last announcement goes into the loss, so that older ones stay void."""
    liveness = Liveness(INTERVAL_S)
    liveness.lead(0.0)
    liveness.heard_elsewhere(AnnouncementReport({ONE: (100, 9)}), 10.0)
    assert liveness.lost([_record()], 10.0 + SILENCE_S - 0.1) == ()
    assert liveness.lost([_record()], 10.0 + SILENCE_S + 0.1) == (MarkEndpointLost(ONE, 100, 9),)


def test_late_announcement_is_no_sign_of_life() -> None:
    """A number that was heard before proves nothing new."""
    liveness = Liveness(INTERVAL_S)
    liveness.lead(0.0)
    liveness.heard(ONE, 100, 9, 10.0)
    liveness.heard(ONE, 100, 8, 12.0)
    assert liveness.lost([_record()], 10.0 + SILENCE_S + 0.1)


def test_endpoints_that_have_left_are_not_lost() -> None:
    """Their silence is expected."""
    liveness = Liveness(INTERVAL_S)
    liveness.lead(0.0)
    assert liveness.lost([_record(EndpointState.LEFT)], 100.0) == ()


def test_news_are_told_once() -> None:
    """A replica sends what it has heard since the last time."""
    liveness = Liveness(INTERVAL_S)
    liveness.heard(ONE, 100, 4, 1.0)
    assert liveness.take_news() == AnnouncementReport({ONE: (100, 4)})
    assert liveness.take_news() is None
