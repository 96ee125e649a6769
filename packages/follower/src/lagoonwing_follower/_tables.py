"""Tables of the followed entities, from which views are created."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonwing_core.ids import Fingerprint, MemberId, Revision, StopId
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
from lagoonwing_follower.models import ControlView


class Tables:
    """Entities applied so far. Each change copies the affected table, so that views stay valid."""

    def __init__(self) -> None:
        self.revision = Revision(0)
        self._member_by_id: dict[MemberId, Member] = {}
        self._member_by_key_hash: dict[str, Member] = {}
        self._agreement_by_member: dict[MemberId, Agreement] = {}
        self._configuration_by_key: dict[str, ConfigurationEntry] = {}
        self._stop_by_id: dict[StopId, PlannedStop] = {}
        self._quarantine_by_fingerprint: dict[Fingerprint, Quarantine] = {}

    def apply(self, entities: Iterable[Entity], revision: Revision) -> None:
        """Apply changes up to a revision; outdated changes of an entity are ignored."""
        for entity in entities:
            self._apply(entity)
        self.revision = max(self.revision, revision)

    def view(self) -> ControlView:
        """Return a view of the current tables; later changes do not affect it."""
        return ControlView(
            revision=self.revision,
            member_by_id=self._member_by_id,
            member_by_key_hash=self._member_by_key_hash,
            agreement_by_member=self._agreement_by_member,
            configuration_by_key=self._configuration_by_key,
            stop_by_id=self._stop_by_id,
            quarantine_by_fingerprint=self._quarantine_by_fingerprint,
        )

    def _apply(self, entity: Entity) -> None:
        """Apply one change."""
        match entity:
            case Member():
                self._apply_member(entity)
            case Agreement():
                self._apply_agreement(entity)
            case ConfigurationEntry():
                found = self._configuration_by_key.get(entity.key)
                if found is None or found.revision < entity.revision:
                    self._configuration_by_key = {**self._configuration_by_key, entity.key: entity}
            case PlannedStop():
                self._apply_stop(entity)
            case Quarantine():
                self._apply_quarantine(entity)

    def _apply_member(self, member: Member) -> None:
        """Apply a member and index its keys."""
        found = self._member_by_id.get(member.member_id)
        if found is not None and found.revision >= member.revision:
            return
        self._member_by_id = {**self._member_by_id, member.member_id: member}
        by_activity = sorted(
            self._member_by_id.values(), key=lambda item: item.state is EntityState.ACTIVE
        )
        # Active members come last, so that a reassigned key maps to its current holder.
        self._member_by_key_hash = {
            key_hash: item for item in by_activity for key_hash in item.key_hashes
        }

    def _apply_agreement(self, agreement: Agreement) -> None:
        """Apply an agreement; a retired one is dropped unless another has replaced it."""
        found = self._agreement_by_member.get(agreement.member_id)
        if found is not None and found.revision >= agreement.revision:
            return
        by_member = dict(self._agreement_by_member)
        if agreement.state is EntityState.ACTIVE:
            by_member[agreement.member_id] = agreement
        elif found is not None and found.agreement_id == agreement.agreement_id:
            del by_member[agreement.member_id]
        self._agreement_by_member = by_member

    def _apply_stop(self, stop: PlannedStop) -> None:
        """Apply a planned stop; a cancelled one is dropped."""
        found = self._stop_by_id.get(stop.stop_id)
        if found is not None and found.revision >= stop.revision:
            return
        by_id = {**self._stop_by_id, stop.stop_id: stop}
        if stop.state is StopState.CANCELLED:
            del by_id[stop.stop_id]
        self._stop_by_id = by_id

    def _apply_quarantine(self, quarantine: Quarantine) -> None:
        """Apply a quarantine; a cleared one is dropped."""
        found = self._quarantine_by_fingerprint.get(quarantine.fingerprint)
        if found is not None and found.revision >= quarantine.revision:
            return
        by_fingerprint = {**self._quarantine_by_fingerprint, quarantine.fingerprint: quarantine}
        if quarantine.state is QuarantineState.CLEARED:
            del by_fingerprint[quarantine.fingerprint]
        self._quarantine_by_fingerprint = by_fingerprint
