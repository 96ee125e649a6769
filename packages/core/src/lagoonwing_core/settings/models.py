"""Settings models of a process."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from lagoonwing_core.settings.const import (
    DEFAULT_ANNOUNCE_PORT,
    DEFAULT_CALLER_PORT,
    DEFAULT_DRAIN_GRACE_S,
    DEFAULT_LOG_LINES_PER_S,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_METRICS_PORT,
    DEFAULT_OPERATOR_PORT,
    DEFAULT_PEER_PORT,
    DEFAULT_REQUEST_TIMEOUT_S,
    KEY_HASH_PATTERN,
    LISTEN_PATTERN,
    MAX_BODY_BYTES,
    MAX_DRAIN_GRACE_S,
    MAX_LOG_LINES_PER_S,
    MAX_PORT,
    MAX_REQUEST_TIMEOUT_S,
    MIN_BODY_BYTES,
    MIN_PORT,
    MIN_POSITIVE_S,
    NAME_PATTERN,
)


class Role(Enum):
    """Role of a process."""

    ENTRY = "entry"
    CONTROL = "control"
    GATEWAY = "gateway"
    REGISTRY = "registry"


class LogLevel(Enum):
    """Minimum severity that is logged."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class ReplicaKind(Enum):
    """Initial role of a control replica when the cluster is bootstrapped."""

    VOTER = "voter"
    LEARNER = "learner"


class LimitPolicy(Enum):
    """How request limits are enforced."""

    ALLOTMENTS = "allotments"
    NONE = "none"


class QueuePolicy(Enum):
    """Order in which queued requests are started."""

    WEIGHTED_FAIR = "weighted_fair"
    FIRST_COME = "first_come"


class RoutePolicy(Enum):
    """Endpoint selection policy."""

    FLOW = "flow"
    ROUND_ROBIN = "round_robin"


Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Port = Annotated[int, Meta(ge=MIN_PORT, le=MAX_PORT, extra={"unit": "port"})]
IpAddress = Annotated[str, Meta(extra={"unit": "IP address"})]
ListenAddress = Annotated[str, Meta(pattern=LISTEN_PATTERN, extra={"unit": "IP address and port"})]
KeyHash = Annotated[str, Meta(pattern=KEY_HASH_PATTERN, extra={"unit": "SHA-256, hexadecimal"})]


class ReplicaSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Address of one control replica."""

    host_id: Annotated[Name, Meta(description="Host that runs the replica.")]
    failure_domain: Annotated[Name, Meta(description="Failure domain of that host.")]
    address: Annotated[IpAddress, Meta(description="Address of the replica's stream server.")]
    port: Annotated[Port, Meta(description="Port of the replica's stream server.")] = (
        DEFAULT_PEER_PORT
    )
    starts_as: Annotated[
        ReplicaKind, Meta(description="Initial role when the cluster is bootstrapped.")
    ] = ReplicaKind.VOTER


class PeerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Peer address of another entry host."""

    host_id: Annotated[Name, Meta(description="Entry host.")]
    failure_domain: Annotated[Name, Meta(description="Failure domain of that host.")]
    address: Annotated[IpAddress, Meta(description="Address of its stream server.")]
    port: Annotated[Port, Meta(description="Port of its stream server.")] = DEFAULT_PEER_PORT


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of an entry host."""

    endpoint_key_hashes: Annotated[
        tuple[KeyHash, ...],
        Meta(
            min_length=1,
            description="Digests of the keys that endpoints use to announce themselves.",
        ),
    ]
    caller_port: Annotated[Port, Meta(description="Port for callers, probes and metrics.")] = (
        DEFAULT_CALLER_PORT
    )
    announce_port: Annotated[Port, Meta(description="Port for endpoints' announcements.")] = (
        DEFAULT_ANNOUNCE_PORT
    )
    peers: Annotated[
        tuple[PeerSettings, ...], Meta(description="Other entry hosts of the cell.")
    ] = ()
    drain_grace_s: Annotated[
        float,
        Meta(
            ge=0.0,
            le=MAX_DRAIN_GRACE_S,
            extra={"unit": "s"},
            description="Time that running requests have to finish after SIGTERM.",
        ),
    ] = DEFAULT_DRAIN_GRACE_S
    max_body_bytes: Annotated[
        int,
        Meta(
            ge=MIN_BODY_BYTES,
            le=MAX_BODY_BYTES,
            extra={"unit": "bytes"},
            description="Maximum size of a request body.",
        ),
    ] = DEFAULT_MAX_BODY_BYTES
    request_timeout_s: Annotated[
        float,
        Meta(
            ge=MIN_POSITIVE_S,
            le=MAX_REQUEST_TIMEOUT_S,
            extra={"unit": "s"},
            description="Default and maximum deadline of a request.",
        ),
    ] = DEFAULT_REQUEST_TIMEOUT_S
    limit_policy: Annotated[
        LimitPolicy, Meta(description="Whether agreements' caps are enforced.")
    ] = LimitPolicy.ALLOTMENTS
    queue_policy: Annotated[
        QueuePolicy, Meta(description="Order in which queued requests are started.")
    ] = QueuePolicy.WEIGHTED_FAIR
    route_policy: Annotated[RoutePolicy, Meta(description="Endpoint selection policy.")] = (
        RoutePolicy.FLOW
    )


class OperatorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """An operator who is authorised to call a control replica."""

    name: Annotated[Name, Meta(description="Operator name recorded in the change history.")]
    key_hash: Annotated[KeyHash, Meta(description="Digest of the operator's key.")]


class ControlSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a control replica."""

    operators: Annotated[
        tuple[OperatorSettings, ...],
        Meta(min_length=1, description="Operators who are authorised to call."),
    ]
    operator_port: Annotated[Port, Meta(description="Port of the operators' gRPC server.")] = (
        DEFAULT_OPERATOR_PORT
    )
    metrics_port: Annotated[
        Port,
        Meta(description="Port for probes and metrics; entry hosts serve these on `caller_port`."),
    ] = DEFAULT_METRICS_PORT


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a gateway."""

    caller_listen: Annotated[ListenAddress, Meta(description="Address on which callers connect.")]
    ready_listen: Annotated[ListenAddress, Meta(description="Address of the readiness probe.")]
    metrics_port: Annotated[Port, Meta(description="Port for metrics.")] = DEFAULT_METRICS_PORT
    retry_ratio: Annotated[
        float,
        Meta(
            ge=0.0, le=10.0, description="Retry budget: retries allowed per request of a service."
        ),
    ] = 0.2
    retry_slack: Annotated[
        float,
        Meta(ge=0.0, description="Additional retries per window, across all gateways."),
    ] = 10.0
    retry_window_s: Annotated[
        float,
        Meta(
            ge=MIN_POSITIVE_S, extra={"unit": "s"}, description="Length of the retry budget window."
        ),
    ] = 10.0
    drain_grace_s: Annotated[
        float,
        Meta(
            ge=0.0,
            le=MAX_DRAIN_GRACE_S,
            extra={"unit": "s"},
            description="Time within which the process must exit after SIGTERM.",
        ),
    ] = DEFAULT_DRAIN_GRACE_S
    queue_policy: Annotated[
        QueuePolicy, Meta(description="Order in which waiting requests are started.")
    ] = QueuePolicy.WEIGHTED_FAIR


class RegistrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a registry process."""

    control_listen: Annotated[
        ListenAddress, Meta(description="Address on which endpoints and operators connect.")
    ]
    metrics_port: Annotated[Port, Meta(description="Port for metrics.")] = DEFAULT_METRICS_PORT
    announce_interval_ms: Annotated[
        float,
        Meta(
            ge=1.0,
            extra={"unit": "ms"},
            description="Interval at which endpoints announce themselves.",
        ),
    ] = 1_000.0
    tolerated_losses: Annotated[
        int,
        Meta(
            ge=0,
            le=10,
            description="Replicas that may fail at once; voters are twice as many plus one.",
        ),
    ] = 1
    may_found: Annotated[
        bool, Meta(description="Whether a new log may be bootstrapped from empty data folders.")
    ] = True


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one process on a host."""

    role: Annotated[Role, Meta(description="Role of the process.")]
    host_id: Annotated[Name, Meta(description="Host that runs the process.")]
    failure_domain: Annotated[Name, Meta(description="Failure domain of the host.")]
    address: Annotated[IpAddress, Meta(description="Address that the process listens on.")]
    system_key_file: Annotated[
        str | None, Meta(description="File containing the key shared by all processes.")
    ] = None
    system_key: Annotated[
        str | None, Meta(description="The shared key itself, for hosts without a key file.")
    ] = None
    replicas: Annotated[
        tuple[ReplicaSettings, ...],
        Meta(description="Control replicas; at least one, and identical on every host."),
    ] = ()
    seeds: Annotated[
        tuple[ListenAddress, ...],
        Meta(description="Hosts that may run a registry; the port is ignored."),
    ] = ()
    log_lines_per_s: Annotated[
        float,
        Meta(
            ge=1.0,
            le=MAX_LOG_LINES_PER_S,
            description="Log lines per second, with a burst of two seconds; drops are counted.",
        ),
    ] = DEFAULT_LOG_LINES_PER_S
    peer_port: Annotated[
        Port, Meta(description="Port for other processes: of the stream server, or of a gateway.")
    ] = DEFAULT_PEER_PORT
    peer_listen_address: Annotated[
        IpAddress | None,
        Meta(description="Listen address of the stream server, if `address` is a proxy."),
    ] = None
    data_folder: Annotated[
        str | None, Meta(description="Data folder; null on a host without a disk.")
    ] = None
    log_level: Annotated[LogLevel, Meta(description="Minimum severity that is logged.")] = (
        LogLevel.INFO
    )
    entry: Annotated[EntrySettings | None, Meta(description="Required if the role is `entry`.")] = (
        None
    )
    control: Annotated[
        ControlSettings | None, Meta(description="Required if the role is `control`.")
    ] = None
    gateway: Annotated[
        GatewaySettings | None, Meta(description="Required if the role is `gateway`.")
    ] = None
    registry: Annotated[
        RegistrySettings | None, Meta(description="Required if the role is `registry`.")
    ] = None
