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
    """Kind of a request; determines whether it may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class ServiceWeight(msgspec.Struct, frozen=True, array_like=True):
    """Weight of a service in a route's traffic split."""

    service_id: ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True, array_like=True):
    """A route for a host name and path prefix.

    Attributes:
        path_prefix: Prefix that starts and ends with a slash.
        timeout_s: Maximum time to respond to a caller.
        objective_s: Latency objective for the response, or for a stream's first event.
        priority: Priority; 0 is the most urgent.
        max_attempts: Maximum number of endpoints to which a caller's attempt is sent.
        is_public: Whether no key is required.
        is_resumable: Whether a stream may be resumed on another endpoint after its last event.
        pause_objective_s: Objective for the longest pause between events, if any.
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
    """Published figures of an accelerator kind.

    Attributes:
        memory_mb: Memory for layers and KV cache.
        step_factor: Multiplier of the decoding step time.
        prefill_factor: Multiplier of the prefill time.
    """

    kind: AcceleratorKind
    memory_mb: float
    step_factor: float
    prefill_factor: float


class Engine(msgspec.Struct, frozen=True, array_like=True):
    """Published figures of a service's engines, for an engine with all layers and factor 1.

    Attributes:
        slots: Maximum number of concurrent requests on one endpoint.
        kv_bytes_per_token: KV cache size of one token over all layers.
        layer_count: Layers of the model; 0 if each endpoint holds the whole model.
        layer_mb: Memory of one layer's weights.
        step_ms: Base time of one decoding step.
        per_sequence_ms: Additional step time per sequence.
        context_ms_per_k: Additional step time per 1,000 context tokens.
        prefill_tokens_per_s: Prefill throughput.
        activation_bytes: Bytes per token sent to the next endpoint on the path.
        link_mbps: Bandwidth of a link between two failure domains, shared by all paths.
        steps_per_pass: Decoding steps per pass, which is also the number of tokens per event.
        load_s: Time to load all layers.
        loads_at_once: Number of concurrent loads that run at full speed.
        mean_prompt_tokens: Mean prompt length.
        mean_output_tokens: Mean number of generated tokens.
    """

    slots: int
    kv_bytes_per_token: float
    layer_count: int
    layer_mb: float
    step_ms: float
    per_sequence_ms: float
    context_ms_per_k: float
    prefill_tokens_per_s: float
    activation_bytes: float
    link_mbps: float
    steps_per_pass: int
    load_s: float
    loads_at_once: int
    mean_prompt_tokens: float
    mean_output_tokens: float
    model_ids: tuple[ModelId, ...]
    accelerators: tuple[Accelerator, ...]

    def accelerator(self, kind: AcceleratorKind | None) -> Accelerator | None:
        """Return the figures of an accelerator kind, if published."""
        return next(
            (accelerator for accelerator in self.accelerators if accelerator.kind == kind), None
        )


class Service(msgspec.Struct, frozen=True, array_like=True):
    """A group of interchangeable endpoints.

    Attributes:
        max_connections: Maximum connections to one endpoint, from all callers together.
        engine: Figures of the model engines; None for a service without models.
    """

    service_id: ServiceId
    health_path: str
    max_connections: int
    engine: Engine | None = None


class CallerLimits(msgspec.Struct, frozen=True, array_like=True):
    """Size limits and timeouts for callers."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class MemberKeys(msgspec.Struct, frozen=True, array_like=True):
    """Keys of one member; its priority overrides that of routes."""

    member_id: MemberId
    keys: tuple[str, ...]
    priority: int | None = None


class Document(msgspec.Struct, frozen=True, array_like=True):
    """A complete configuration.

    Attributes:
        members: Members and their keys; None if callers need no keys.
    """

    version: DocumentVersion
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = CallerLimits()
    members: tuple[MemberKeys, ...] | None = None


class EndpointState(Enum):
    """State of an endpoint; only a READY endpoint gets requests.

    LEFT: it deregistered or was replaced. LOST: its announcements stopped.
    """

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"
    LOST = "lost"


class LayerRange(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Layers from `first` (inclusive) to `end` (exclusive)."""

    first: int
    end: int

    @property
    def count(self) -> int:
        """Number of layers."""
        return self.end - self.first

    def covers(self, other: LayerRange) -> bool:
        """Return whether this range contains another range."""
        return self.first <= other.first and other.end <= self.end


class EndpointRecord(msgspec.Struct, frozen=True, array_like=True):
    """Latest announcement of an endpoint.

    Attributes:
        address: IP address.
        started_ms: Start time of this incarnation, in milliseconds since the epoch.
        sequence: Sequence number of the announcement within this incarnation.
        layers: Layers it holds; None if it holds none or if each endpoint holds the whole model.
        revision: Revision at which the record was stored.
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
    def socket_address(self) -> str:
        """Address and port, which identify the endpoint in paths."""
        return f"{self.address}:{self.port}"

    @property
    def is_entry(self) -> bool:
        """Whether requests enter here: it holds the first layer, or the whole model."""
        return self.layers is None or self.layers.first == 0
