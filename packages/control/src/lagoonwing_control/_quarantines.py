"""Quarantine of requests on which endpoints died, counted over all entry hosts."""

from __future__ import annotations

from lagoonwing_control._changes import cleared_quarantine
from lagoonwing_control._state import State
from lagoonwing_control.const import MAX_QUARANTINES, QUARANTINE_DEATH_COUNT
from lagoonwing_control.models import EntityKind
from lagoonwing_core.ids import Fingerprint, Revision
from lagoonwing_core.models import Quarantine, QuarantineState
from lagoonwing_wire.control_messages import ClearSuspect, ReportSuspects


def report_suspects(state: State, command: ReportSuspects) -> list[Quarantine]:
    """Return the quarantines that a report changes, with consecutive revisions."""
    death = (command.endpoint_id, command.incarnation)
    changed: list[Quarantine] = []
    for fingerprint in dict.fromkeys(command.fingerprints):
        current = _find_quarantine(state, fingerprint)
        deaths = () if current is None else current.deaths
        if death in deaths:
            continue
        deaths = (*deaths, death)
        is_quarantined = len(deaths) >= QUARANTINE_DEATH_COUNT
        was_quarantined = current is not None and current.state is QuarantineState.QUARANTINED
        if was_quarantined:
            continue
        quarantine = Quarantine(
            fingerprint=fingerprint,
            state=QuarantineState.QUARANTINED if is_quarantined else QuarantineState.SUSPECT,
            deaths=deaths,
            revision=Revision(state.revision + 1 + len(changed)),
        )
        changed.append(quarantine)
    return changed


def clear_suspect(state: State, command: ClearSuspect) -> list[Quarantine]:
    """Return the cleared quarantine if the request is a suspect; quarantined ones stay."""
    current = _find_quarantine(state, command.fingerprint)
    if current is None or current.state is not QuarantineState.SUSPECT:
        return []
    return [cleared_quarantine(command.fingerprint, Revision(state.revision + 1))]


def evict_oldest_suspects(state: State) -> list[Quarantine]:
    """Return clearances that bring the table within its limit, oldest suspects first."""
    excess = len(state.entity_by_id_by_kind[EntityKind.QUARANTINE]) - MAX_QUARANTINES
    if excess <= 0:
        return []
    oldest_first = sorted(
        state.quarantines(),
        key=lambda item: (item.state is QuarantineState.QUARANTINED, item.revision),
    )
    return [
        cleared_quarantine(item.fingerprint, Revision(state.revision + 1 + position))
        for position, item in enumerate(oldest_first[:excess])
    ]


def _find_quarantine(state: State, fingerprint: Fingerprint) -> Quarantine | None:
    """Return the quarantine of a fingerprint, if there is one."""
    found = state.entity(EntityKind.QUARANTINE, fingerprint)
    return found if isinstance(found, Quarantine) else None
