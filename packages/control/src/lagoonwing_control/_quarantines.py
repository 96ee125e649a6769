"""Suspect requests: deaths counted over all entry hosts."""

from __future__ import annotations

from lagoonwing_control._changes import cleared
from lagoonwing_control._state import State
from lagoonwing_control.const import DEATHS_UNTIL_QUARANTINE, MAX_QUARANTINES
from lagoonwing_control.models import EntityKind
from lagoonwing_core.ids import Fingerprint, Revision
from lagoonwing_core.models import Quarantine, QuarantineState
from lagoonwing_wire.control_messages import ClearSuspect, ReportSuspects


def report_suspects(state: State, command: ReportSuspects) -> list[Quarantine]:
    """Return the quarantines that a report changes, with revisions that follow on."""
    death = (command.endpoint_id, command.incarnation)
    changed: list[Quarantine] = []
    for fingerprint in dict.fromkeys(command.fingerprints):
        current = _quarantine(state, fingerprint)
        deaths = () if current is None else current.deaths
        if death in deaths:
            continue
        deaths = (*deaths, death)
        fatal = len(deaths) >= DEATHS_UNTIL_QUARANTINE
        already_quarantined = current is not None and current.state is QuarantineState.QUARANTINED
        if already_quarantined:
            continue
        quarantine = Quarantine(
            fingerprint=fingerprint,
            state=QuarantineState.QUARANTINED if fatal else QuarantineState.SUSPECT,
            deaths=deaths,
            revision=Revision(state.revision + 1 + len(changed)),
        )
        changed.append(quarantine)
    return changed


def clear_suspect(state: State, command: ClearSuspect) -> list[Quarantine]:
    """Return the quarantine that a clearance changes, if any; a quarantined one stays."""
    current = _quarantine(state, command.fingerprint)
    if current is None or current.state is not QuarantineState.SUSPECT:
        return []
    return [cleared(command.fingerprint, Revision(state.revision + 1))]


def evict_suspects(state: State) -> list[Quarantine]:
    """Return clearances of the oldest suspects that pass the bound of the table."""
    surplus = len(state.entity_by_id_by_kind[EntityKind.QUARANTINE]) - MAX_QUARANTINES
    if surplus <= 0:
        return []
    oldest_first = sorted(
        state.quarantines(),
        key=lambda item: (item.state is QuarantineState.QUARANTINED, item.revision),
    )
    return [
        cleared(item.fingerprint, Revision(state.revision + 1 + position))
        for position, item in enumerate(oldest_first[:surplus])
    ]


def _quarantine(state: State, fingerprint: Fingerprint) -> Quarantine | None:
    """Return the standing of a fingerprint."""
    found = state.entity(EntityKind.QUARANTINE, fingerprint)
    return found if isinstance(found, Quarantine) else None
