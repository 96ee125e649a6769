"""Configuration documents and endpoint records."""

from __future__ import annotations

from enum import Enum

import msgspec

from lagoonwing_core.ids import (
    AcceleratorKind,
    DocumentVersion,
    EndpointId,
    FailureDomainId,
    MemberId,
    ModelId,
    Revision,
    RouteId,
    ServiceId,
)


class RequestKind(Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class ServiceWeight(msgspec.Struct, frozen=True, array_like=True):
    """Share of a route's requests that a service gets."""

    service_id: ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one host name and path prefix.

    Attributes:
        path_prefix: Begins and ends with a slash.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: Time to the answer, or to a stream's first event, for full value.
        priority: Rank; 0 is the most urgent.
        max_attempts: Most endpoints that one attempt of a caller may be sent to.
        is_public: Whether no key is asked for.
        is_resumable: Whether a stream may go on at another endpoint after its last event.
        pause_objective_s: Longest pause between events for full value, if there is one.
    """

    route_id: RouteId
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    priority: int
    splits: tuple[ServiceWeight, ...]
    max_attempts: int
    is_public: bool
    is_resumable: bool
    pause_objective_s: float | None = None


class Accelerator(msgspec.Struct, frozen=True, array_like=True):
    """One kind of accelerator.

    Attributes:
        memory_mb: Memory for layers and for the KV cache.
        step_factor: Multiplies the time of a decoding step.
        read_factor: Multiplies the time of reading a prompt.
    """

    kind: AcceleratorKind
    memory_mb: float
    step_factor: float
    read_factor: float


class Engine(msgspec.Struct, frozen=True, array_like=True):
    """Published figures of a service's model engines, for one with all layers and factor 1.

    Attributes:
        slots: Requests that one endpoint runs at once.
        kv_bytes_per_token: KV cache of one token over all layers.
        layer_count: Layers of the model; 0 where each endpoint holds all of it.
        layer_mb: Memory of one layer's weights.
        step_ms: Time of one decoding step.
        per_sequence_ms: Additional time of a step for each sequence.
        context_ms_per_k: Additional time of a step for 1,000 tokens of context.
        read_tokens_per_s: Prompt tokens read per second.
        activation_bytes: Bytes that a token passes on to the next part of its path.
        pipe_mbps: Bandwidth between two failure domains, shared by all.
        steps_per_pass: Steps that one pass runs, and so tokens in an event.
        load_s: Time to load all layers.
        loads_at_once: Loads that run at full speed together.
        usual_prompt_tokens: Mean tokens of a prompt.
        usual_answer_tokens: Mean tokens of an answer.
    """

    slots: int
    kv_bytes_per_token: float
    layer_count: int
    layer_mb: float
    step_ms: float
    per_sequence_ms: float
    context_ms_per_k: float
    read_tokens_per_s: float
    activation_bytes: float
    pipe_mbps: float
    steps_per_pass: int
    load_s: float
    loads_at_once: int
    usual_prompt_tokens: float
    usual_answer_tokens: float
    model_ids: tuple[ModelId, ...]
    accelerators: tuple[Accelerator, ...]

    def accelerator(self, kind: AcceleratorKind | None) -> Accelerator | None:
        """Return the figures of one kind, if they are published."""
        return next((one for one in self.accelerators if one.kind == kind), None)


class Service(msgspec.Struct, frozen=True, array_like=True):
    """Endpoints that do the same work.

    Attributes:
        max_connections: Connections that one endpoint takes from all callers together.
        engine: Figures of model engines; none for a plain service.
    """

    service_id: ServiceId
    health_path: str
    max_connections: int
    engine: Engine | None = None


class CallerLimits(msgspec.Struct, frozen=True, array_like=True):
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class MemberKeys(msgspec.Struct, frozen=True, array_like=True):
    """Keys of one member; its priority precedes that of routes."""

    member_id: MemberId
    keys: tuple[str, ...]
    priority: int | None = None


class Document(msgspec.Struct, frozen=True, array_like=True):
    """One whole configuration.

    Attributes:
        members: Nothing if callers need no keys at all.
    """

    version: DocumentVersion
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = CallerLimits()
    members: tuple[MemberKeys, ...] | None = None


class EndpointState(Enum):
    """Whether an endpoint may get work.

    LEFT means that it has said so or was replaced; LOST that it has fallen silent.
    """

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"
    LOST = "lost"


class LayerRange(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Layers from `first` up to, but not including, `end`."""

    first: int
    end: int

    @property
    def count(self) -> int:
        """Number of layers."""
        return self.end - self.first

    def covers(self, other: LayerRange) -> bool:
        """Return whether every layer of another range is in this one."""
        return self.first <= other.first and other.end <= self.end


class EndpointRecord(msgspec.Struct, frozen=True, array_like=True):
    """What one endpoint has announced.

    Attributes:
        address: IP number.
        started_ms: Start of this incarnation, in milliseconds since the epoch.
        sequence: Announcement of this incarnation that the record was made from.
        layers: Layers that it holds; nothing if it holds none, or if all endpoints hold all.
        revision: Change that made the record.
    """

    endpoint_id: EndpointId
    service_id: ServiceId
    address: str
    port: int
    failure_domain: FailureDomainId
    slots: int
    state: EndpointState
    started_ms: int
    sequence: int
    kind: AcceleratorKind | None = None
    layers: LayerRange | None = None
    revision: Revision = Revision(0)

    @property
    def key(self) -> str:
        """Address and port, as paths name an endpoint."""
        return f"{self.address}:{self.port}"
