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
    """Lifecycle state of a member or agreement."""

    ACTIVE = "active"
    RETIRED = "retired"


class EndpointKind(Enum):
    """What an endpoint serves."""

    WHOLE_MODEL = "whole_model"
    STAGE = "stage"
    SERVICE = "service"


class EndpointState(Enum):
    """Endpoint state, as announced by the endpoint."""

    SERVING = "serving"
    LEAVING = "leaving"


class StopTarget(Enum):
    """Kind of target of a planned stop."""

    HOST = "host"
    ENDPOINT = "endpoint"
    FAILURE_DOMAIN = "failure_domain"


class StopState(Enum):
    """Progress of a planned stop."""

    DRAINING = "draining"
    SAFE = "safe"
    CANCELLED = "cancelled"


class QuarantineState(Enum):
    """Quarantine state of a request fingerprint that was running on an endpoint that died."""

    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"


class CapDimension(Enum):
    """Resource that an agreement caps."""

    CONCURRENCY = "concurrency"
    REQUESTS_PER_S = "requests_per_s"
    TOKENS_PER_S = "tokens_per_s"


class Member(msgspec.Struct, frozen=True, kw_only=True, tag="member"):
    """A member organisation.

    Attributes:
        key_hashes: Hexadecimal SHA-256 digests of the member's bearer keys.
        revision: Revision of the last change to the member.
    """

    member_id: MemberId
    name: str
    key_hashes: tuple[str, ...]
    state: EntityState
    revision: Revision


class Agreement(msgspec.Struct, frozen=True, kw_only=True, tag="agreement"):
    """Resource caps for one member; `None` means uncapped.

    Attributes:
        weight: Share of the serving capacity, relative to other members' weights.
        max_concurrency: Concurrent requests across all entry hosts.
        max_requests_per_s: Requests started per second across all entry hosts.
        max_tokens_per_s: Prompt and generated tokens per second across all entry hosts.
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
    """One entry of the configuration that operators can change at run time."""

    key: str
    value: str
    revision: Revision


class PlannedStop(msgspec.Struct, frozen=True, kw_only=True, tag="stop"):
    """A planned stop of a host, endpoint or failure domain."""

    stop_id: StopId
    target: StopTarget
    target_id: str
    state: StopState
    revision: Revision


class Quarantine(msgspec.Struct, frozen=True, kw_only=True, tag="quarantine"):
    """Quarantine state of one request fingerprint.

    Attributes:
        deaths: Endpoints and incarnations that died while running the request.
    """

    fingerprint: Fingerprint
    state: QuarantineState
    deaths: tuple[tuple[EndpointId, Incarnation], ...]
    revision: Revision


# Entities that operators manage and entry hosts replicate.
Entity = Member | Agreement | ConfigurationEntry | PlannedStop | Quarantine


class LayerRange(msgspec.Struct, frozen=True):
    """Half-open range of layers, from `first` up to but excluding `end`."""

    first: int
    end: int


class ServiceCall(msgspec.Struct, frozen=True, kw_only=True):
    """One callable operation of a plain service.

    Attributes:
        path: Path relative to the service, such as `/reserve`.
        idempotent: Whether the call can safely be executed more than once.
    """

    method: str
    path: str
    idempotent: bool


class EndpointRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint's announcement.

    Attributes:
        incarnation: Start time of the endpoint process in milliseconds; the highest value wins.
        sequence: Announcement number within the incarnation; the highest value wins.
        address: IP address.
        layers: Layers served by a stage.
        layer_count: Total layers of the model that a stage belongs to.
        slots: Sequences that the engine runs concurrently.
        tokens_per_s: Generation throughput across all slots.
        kv_tokens: KV cache capacity in tokens.
        honours_fencing: Whether the endpoint rejects orders with a stale fencing number.
        exports_kv: Whether the KV cache can be exported and imported.
        honours_priority: Whether the engine schedules by request priority.
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
    """Address on which a process accepts peer connections."""

    host_id: HostId
    address: str
    port: int
    failure_domain: FailureDomainId
