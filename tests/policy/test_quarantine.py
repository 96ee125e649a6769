"""Quarantine: verdicts, reports, clearance, and failures of a whole domain."""

from __future__ import annotations

import random

from bench.clusters import make_record
from lagoonwing_core.ids import EndpointId, Fingerprint, Incarnation, Revision
from lagoonwing_core.models import Quarantine, QuarantineState
from lagoonwing_policy._protocols import QuarantineVerdict
from lagoonwing_policy.models import ClearSuspect, ReportSuspects, RouteStage
from lagoonwing_policy.quarantine import QuarantineSystem

POISON, HARMLESS, OTHER = Fingerprint("k"), Fingerprint("i"), Fingerprint("o")


def _stage(number: int, incarnation: int = 1) -> RouteStage:
    return RouteStage(EndpointId(f"endpoint-{number:04}"), Incarnation(incarnation))


def _durable(state: QuarantineState, *stages: RouteStage, revision: int = 1) -> Quarantine:
    return Quarantine(
        fingerprint=POISON,
        state=state,
        deaths=tuple((stage.endpoint_id, stage.incarnation) for stage in stages),
        revision=Revision(revision),
    )


def _system(endpoints: int = 12) -> QuarantineSystem:
    rng = random.Random(1)
    system = QuarantineSystem()
    system.set_endpoints([make_record(number, rng) for number in range(endpoints)])
    return system


def test_requests_on_a_crashed_endpoint_become_suspects_immediately() -> None:
    """Each request that was running there is reported once and may only run alone."""
    system = _system()
    reports = system.on_endpoint_crashed(_stage(0), (POISON, HARMLESS, POISON), 0.0)
    stage = _stage(0)
    assert reports == (ReportSuspects((HARMLESS, POISON), stage.endpoint_id, stage.incarnation),)
    assert system.on_endpoint_crashed(_stage(0), (HARMLESS,), 0.1) == ()
    assert system.verdict(POISON) is QuarantineVerdict.EXCLUSIVE
    assert system.verdict(OTHER) is QuarantineVerdict.ALLOWED


def test_second_crash_refuses_before_it_is_in_the_replicated_state() -> None:
    """Local crashes and crashes reported by others add up; the same crash counts once."""
    system = _system()
    system.on_endpoint_crashed(_stage(0), (POISON,), 0.0)
    system.set_quarantines([_durable(QuarantineState.SUSPECT, _stage(0))])
    assert system.verdict(POISON) is QuarantineVerdict.EXCLUSIVE
    system.on_endpoint_crashed(_stage(0, incarnation=2), (POISON,), 9.0)
    assert system.verdict(POISON) is QuarantineVerdict.REFUSED
    informed = _system()
    informed.on_endpoint_crashed(_stage(1), (POISON,), 0.0)
    informed.set_quarantines([_durable(QuarantineState.SUSPECT, _stage(0))])
    assert informed.verdict(POISON) is QuarantineVerdict.REFUSED


def test_replicated_quarantine_refuses() -> None:
    """A request that crashed two endpoints on other hosts is refused on this host."""
    system = _system()
    system.set_quarantines([_durable(QuarantineState.QUARANTINED, _stage(0), _stage(1))])
    assert system.verdict(POISON) is QuarantineVerdict.REFUSED


def test_suspect_that_completed_alone_is_cleared() -> None:
    """Only an exclusive run clears a suspect; afterwards it may share endpoints again."""
    system = _system()
    system.on_endpoint_crashed(_stage(0), (HARMLESS,), 0.0)
    assert system.on_succeeded(HARMLESS, exclusive=False) is None
    assert system.verdict(HARMLESS) is QuarantineVerdict.EXCLUSIVE
    assert system.on_succeeded(HARMLESS, exclusive=True) == ClearSuspect(HARMLESS)
    assert system.verdict(HARMLESS) is QuarantineVerdict.ALLOWED
    assert system.on_succeeded(OTHER, exclusive=False) is None


def test_clearance_by_another_host_discards_local_crashes() -> None:
    """A cleared quarantine with a new revision discards the local crashes."""
    system = _system()
    system.on_endpoint_crashed(_stage(0), (POISON,), 0.0)
    system.set_quarantines([_durable(QuarantineState.SUSPECT, _stage(0), revision=5)])
    system.set_quarantines([_durable(QuarantineState.CLEARED, revision=6)])
    assert system.verdict(POISON) is QuarantineVerdict.ALLOWED


def test_domain_failure_is_not_attributed_to_requests() -> None:
    """Simultaneous crashes in one domain without a common request have another cause."""
    system = _system()
    # `make_record` assigns every third endpoint to the same failure domain.
    reported = [
        bool(system.on_endpoint_crashed(_stage(3 * n), (Fingerprint(f"f{n}"),), 0.1 * n))
        for n in range(4)
    ]
    assert reported == [True, True, False, False]
    assert system.verdict(Fingerprint("f3")) is QuarantineVerdict.ALLOWED
    spread = [
        system.on_endpoint_crashed(_stage(3), (Fingerprint(f"g{t}"),), 10.0 * t) for t in (1, 2)
    ]
    assert all(spread)


def test_request_common_to_all_crashes_is_quarantined() -> None:
    """A poison request sent three times within a second is not taken for a domain failure."""
    system = _system()
    for number in range(3):
        system.on_endpoint_crashed(_stage(3 * number), (POISON, Fingerprint(f"f{number}")), 0.0)
    assert system.verdict(POISON) is QuarantineVerdict.REFUSED


def test_second_crash_also_reports_an_excused_first_crash() -> None:
    """A request excused by a domain failure is reported with both crashes after the second."""
    system = _system()
    for number in range(3):
        system.on_endpoint_crashed(_stage(3 * number), (Fingerprint(f"f{number}"),), 0.0)
    reports = system.on_endpoint_crashed(_stage(1), (Fingerprint("f2"),), 5.0)
    assert {report.endpoint_id for report in reports} == {"endpoint-0006", "endpoint-0001"}
    assert system.verdict(Fingerprint("f2")) is QuarantineVerdict.REFUSED
