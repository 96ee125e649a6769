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
            return pb.Entity(
                member=pb.Member(
                    member_id=entity.member_id,
                    name=entity.name,
                    key_hashes=entity.key_hashes,
                    state=entity.state.value,
                    revision=entity.revision,
                )
            )
        case Agreement():
            return pb.Entity(
                agreement=pb.Agreement(
                    agreement_id=entity.agreement_id,
                    member_id=entity.member_id,
                    weight=entity.weight,
                    max_concurrency=entity.max_concurrency,
                    max_requests_per_s=entity.max_requests_per_s,
                    max_tokens_per_s=entity.max_tokens_per_s,
                    state=entity.state.value,
                    revision=entity.revision,
                )
            )
        case ConfigurationEntry():
            return pb.Entity(
                configuration=pb.ConfigurationEntry(
                    key=entity.key, value=entity.value, revision=entity.revision
                )
            )
        case PlannedStop():
            return pb.Entity(
                stop=pb.PlannedStop(
                    stop_id=entity.stop_id,
                    target=entity.target.value,
                    target_id=entity.target_id,
                    state=entity.state.value,
                    revision=entity.revision,
                )
            )
        case Quarantine():
            return pb.Entity(
                quarantine=pb.Quarantine(
                    fingerprint=entity.fingerprint,
                    state=entity.state.value,
                    deaths=[f"{endpoint}@{incarnation}" for endpoint, incarnation in entity.deaths],
                    revision=entity.revision,
                )
            )
        case None:
            return pb.Entity()


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
