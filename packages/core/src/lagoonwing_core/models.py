"""Entities shared by every package."""

from __future__ import annotations

from enum import Enum

import msgspec

from lagoonwing_core.ids import (
    AcceleratorKind,
    AgreementId,
    EndpointId,
    FailureDomainId,
    Fingerprint,
    HostId,
    Incarnation,
    MemberId,
    ModelId,
    Revision,
    ServiceId,
    StopId,
)


class EntityState(Enum):
    """Whether a member or agreement is in force."""

    ACTIVE = "active"
    RETIRED = "retired"


class EndpointKind(Enum):
    """What an endpoint holds."""

    WHOLE_MODEL = "whole_model"
    STAGE = "stage"
    SERVICE = "service"


class EndpointState(Enum):
    """What an endpoint announces of itself."""

    SERVING = "serving"
    LEAVING = "leaving"


class StopTarget(Enum):
    """What a planned stop takes out of service."""

    HOST = "host"
    ENDPOINT = "endpoint"
    FAILURE_DOMAIN = "failure_domain"


class StopState(Enum):
    """How far a planned stop has come."""

    DRAINING = "draining"
    SAFE = "safe"
    CANCELLED = "cancelled"


class QuarantineState(Enum):
    """Standing of the fingerprint of a request that ran on an endpoint as it died."""

    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"


class CapDimension(Enum):
    """What an agreement caps."""

    CONCURRENCY = "concurrency"
    REQUESTS_PER_S = "requests_per_s"
    TOKENS_PER_S = "tokens_per_s"


class Member(msgspec.Struct, frozen=True, kw_only=True, tag="member"):
    """A member organisation.

    Attributes:
        key_hashes: SHA-256 digests, in hexadecimal, of the member's bearer keys.
        revision: Revision of the last change.
    """

    member_id: MemberId
    name: str
    key_hashes: tuple[str, ...]
    state: EntityState
    revision: Revision


class Agreement(msgspec.Struct, frozen=True, kw_only=True, tag="agreement"):
    """Caps on what one member may take; `None` is no cap.

    Attributes:
        weight: Share of the serving capacity relative to the weights of other members.
        max_concurrency: Requests running at once over all entry hosts.
        max_requests_per_s: Requests started per second over all entry hosts.
        max_tokens_per_s: Tokens, prompt and generated, per second over all entry hosts.
    """

    agreement_id: AgreementId
    member_id: MemberId
    weight: float
    max_concurrency: int | None
    max_requests_per_s: float | None
    max_tokens_per_s: float | None
    state: EntityState
    revision: Revision


class ConfigurationEntry(msgspec.Struct, frozen=True, kw_only=True, tag="configuration"):
    """One key of the configuration that operators change at run time."""

    key: str
    value: str
    revision: Revision


class PlannedStop(msgspec.Struct, frozen=True, kw_only=True, tag="stop"):
    """An ordered stop of a host, endpoint or failure domain."""

    stop_id: StopId
    target: StopTarget
    target_id: str
    state: StopState
    revision: Revision


class Quarantine(msgspec.Struct, frozen=True, kw_only=True, tag="quarantine"):
    """Standing of one request fingerprint.

    Attributes:
        deaths: Endpoints, with their incarnation, that died while they ran it.
    """

    fingerprint: Fingerprint
    state: QuarantineState
    deaths: tuple[tuple[EndpointId, Incarnation], ...]
    revision: Revision


# What operators change and every entry host follows.
Entity = Member | Agreement | ConfigurationEntry | PlannedStop | Quarantine


class LayerRange(msgspec.Struct, frozen=True):
    """Layers held by a stage, from `first` up to but without `end`."""

    first: int
    end: int


class ServiceCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call of a plain service.

    Attributes:
        path: Path below the service, such as `/reserve`.
        idempotent: Whether the call may run more than once.
    """

    method: str
    path: str
    idempotent: bool


class EndpointRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What an endpoint announces of itself.

    Attributes:
        incarnation: Start time of the endpoint's process in milliseconds; a higher one wins.
        sequence: Number of the announcement within the incarnation; a higher one wins.
        address: IP number.
        layers: Layers held, for a stage.
        layer_count: Layers of the whole model, for a stage.
        slots: Sequences that the engine runs at once.
        tokens_per_s: Tokens that the engine generates per second over all slots.
        kv_tokens: Tokens that the KV cache holds.
        honours_fencing: Whether orders with an old fencing number are refused.
        exports_kv: Whether KV cache can be exported and imported.
        honours_priority: Whether a request's priority is used by the engine.
    """

    endpoint_id: EndpointId
    incarnation: Incarnation
    sequence: int
    state: EndpointState
    kind: EndpointKind
    address: str
    port: int
    failure_domain: FailureDomainId
    accelerator: AcceleratorKind = AcceleratorKind("")
    models: tuple[ModelId, ...] = ()
    layers: LayerRange | None = None
    layer_count: int = 0
    service: ServiceId | None = None
    calls: tuple[ServiceCall, ...] = ()
    slots: int = 1
    tokens_per_s: float = 0.0
    kv_tokens: int = 0
    honours_fencing: bool = False
    exports_kv: bool = False
    honours_priority: bool = False


class HostAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Where a process of the system listens for its peers."""

    host_id: HostId
    address: str
    port: int
    failure_domain: FailureDomainId
