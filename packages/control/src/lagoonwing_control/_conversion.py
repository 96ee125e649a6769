"""Conversion between the operator API's messages and the entities."""

from __future__ import annotations

from lagoonwing_control.models import (
    EntityKind,
    OrderStop,
    PutAgreement,
    PutMember,
    SetConfiguration,
)
from lagoonwing_core.ids import AgreementId, MemberId, StopId
from lagoonwing_core.models import (
    Agreement,
    ConfigurationEntry,
    Entity,
    Member,
    PlannedStop,
    Quarantine,
    StopTarget,
)
from lagoonwing_rpc import operator_pb2 as pb


def entity_message(entity: Entity | None) -> pb.Entity:
    """Convert an entity to its API message."""
    match entity:
        case Member():
            return pb.Entity(member=_member_message(entity))
        case Agreement():
            return pb.Entity(agreement=_agreement_message(entity))
        case ConfigurationEntry():
            message = pb.ConfigurationEntry(
                key=entity.key, value=entity.value, revision=entity.revision
            )
            return pb.Entity(configuration=message)
        case PlannedStop():
            return pb.Entity(stop=_stop_message(entity))
        case Quarantine():
            return pb.Entity(quarantine=_quarantine_message(entity))
        case None:
            return pb.Entity()


def _member_message(member: Member) -> pb.Member:
    """Convert a member to its API message."""
    return pb.Member(
        member_id=member.member_id,
        name=member.name,
        key_hashes=member.key_hashes,
        state=member.state.value,
        revision=member.revision,
    )


def _agreement_message(agreement: Agreement) -> pb.Agreement:
    """Convert an agreement to its API message."""
    return pb.Agreement(
        agreement_id=agreement.agreement_id,
        member_id=agreement.member_id,
        weight=agreement.weight,
        max_concurrency=agreement.max_concurrency,
        max_requests_per_s=agreement.max_requests_per_s,
        max_tokens_per_s=agreement.max_tokens_per_s,
        state=agreement.state.value,
        revision=agreement.revision,
    )


def _stop_message(stop: PlannedStop) -> pb.PlannedStop:
    """Convert a planned stop to its API message."""
    return pb.PlannedStop(
        stop_id=stop.stop_id,
        target=stop.target.value,
        target_id=stop.target_id,
        state=stop.state.value,
        revision=stop.revision,
    )


def _quarantine_message(quarantine: Quarantine) -> pb.Quarantine:
    """Convert a quarantine to its API message."""
    return pb.Quarantine(
        fingerprint=quarantine.fingerprint,
        state=quarantine.state.value,
        deaths=[f"{endpoint}@{incarnation}" for endpoint, incarnation in quarantine.deaths],
        revision=quarantine.revision,
    )


def member_change(message: pb.Member) -> PutMember:
    """Convert a member message to a change."""
    return PutMember(MemberId(message.member_id), message.name, tuple(message.key_hashes))


def agreement_change(message: pb.Agreement) -> PutAgreement:
    """Convert an agreement message to a change."""
    return PutAgreement(
        agreement_id=AgreementId(message.agreement_id),
        member_id=MemberId(message.member_id),
        weight=message.weight,
        max_concurrency=message.max_concurrency if message.HasField("max_concurrency") else None,
        max_requests_per_s=(
            message.max_requests_per_s if message.HasField("max_requests_per_s") else None
        ),
        max_tokens_per_s=message.max_tokens_per_s if message.HasField("max_tokens_per_s") else None,
    )


def configuration_change(message: pb.ConfigurationEntry) -> SetConfiguration:
    """Convert a configuration message to a change."""
    return SetConfiguration(message.key, message.value)


def stop_change(message: pb.PlannedStop) -> OrderStop:
    """Convert a planned stop message to a change.

    Raises:
        ValueError: The kind of target is unknown.
    """
    return OrderStop(StopId(message.stop_id), StopTarget(message.target), message.target_id)


def entity_kind(number: int) -> EntityKind:
    """Convert the API's entity kind.

    Raises:
        ValueError: The kind is unknown.
    """
    return EntityKind(number)
