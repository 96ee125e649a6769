"""Commands of the catalog log, and messages between replicas and gateways."""

from __future__ import annotations

import msgspec

from lagoonwing_catalog._state import StoredDocument
from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.ids import (
    CrashId,
    EndpointId,
    FailureDomainId,
    Fingerprint,
    HostId,
    MemberId,
    Revision,
    ServiceId,
)
from lagoonwing_core.result_codes import ResultCode


class PutDocument(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Activate a document."""

    stored: StoredDocument


class PutEndpoint(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Store an endpoint's announcement."""

    record: EndpointRecord


class MarkEndpointLost(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Mark an endpoint as lost after its last known announcement."""

    endpoint_id: EndpointId
    started_ms: int
    sequence: int


Command = PutDocument | PutEndpoint | MarkEndpointLost


class ApplyResult(msgspec.Struct, frozen=True, array_like=True):
    """Result of a command.

    Attributes:
        changed: Whether the state changed.
    """

    revision: Revision
    changed: bool


class Submit(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Request to the leader to commit an encoded command."""

    command: bytes


class Submitted(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The command was committed; `result` is the encoded `ApplyResult`."""

    result: bytes


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """The call was refused."""

    code: ResultCode
    detail: str


class ReadIndex(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Request to the leader for the revision that a linearizable read must observe."""


class ReadIndexReply(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Revision that a linearizable read must observe."""

    revision: Revision


class AnnouncementReport(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Announcements received by a replica since its last report to the leader.

    Attributes:
        sequence_by_id: Start time and sequence number of the latest announcement by endpoint.
    """

    sequence_by_id: dict[EndpointId, tuple[int, int]]


class HandoverAddress(msgspec.Struct, frozen=True, array_like=True):
    """Address at which a gateway takes requests of other gateways."""

    address: str
    port: int


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Request to a replica for all changes after a revision.

    Attributes:
        after: Last revision known to the gateway; 0 for the full state.
        failure_domain: Failure domain of the gateway.
        handover: Address at which it takes requests of other gateways, if it does.
    """

    after: Revision
    failure_domain: FailureDomainId
    handover: HandoverAddress | None = None


class ReplicaAddress(msgspec.Struct, frozen=True, array_like=True):
    """Listening address of a replica."""

    host_id: HostId
    address: str
    port: int


class Subscribed(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """The subscription was accepted.

    Attributes:
        gateways: Number of live gateways known to the replica.
    """

    replicas: tuple[ReplicaAddress, ...]
    gateways: int


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Changes up to a revision.

    Attributes:
        is_full: Whether the delta replaces the full state, so that omitted records don't exist.
        document: Compressed document, if it changed.
        after: Revision that the changes follow; 0 for the full state.
    """

    revision: Revision
    is_full: bool
    document: bytes | None
    endpoints: tuple[EndpointRecord, ...]
    after: Revision


class Freshness(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Freshness of the replica's state.

    Attributes:
        age_s: Seconds since the replica was last known to have all committed changes.
        gateways: Number of live gateways.
    """

    revision: Revision
    age_s: float
    gateways: int


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one endpoint.

    Attributes:
        sequences: Number of active requests.
        kv_token_layers: Reserved KV cache, in token-layers.
        prefill_ms: Outstanding prefill time, in milliseconds.
    """

    sequences: int
    kv_token_layers: int
    prefill_ms: int


class ServicePressure(msgspec.Struct, frozen=True, array_like=True):
    """Demand for one service.

    Attributes:
        started_cost_per_s: Cost of the requests started per second.
        waiting_cost_by_rank: Cost of the waiting requests by rank.
    """

    started_cost_per_s: float
    waiting_cost_by_rank: dict[int, float]


class DomainTransfers(msgspec.Struct, frozen=True, array_like=True):
    """Prompt transfers from one failure domain to another.

    Attributes:
        started_ms_per_s: Transfer time started per second, in milliseconds.
    """

    source: FailureDomainId
    target: FailureDomainId
    started_ms_per_s: float


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """Load caused by one gateway.

    A process of another version may send fewer fields, so new ones are added at the end.

    Attributes:
        suspects: Endpoints to which the gateway sends no requests.
        slowdown_by_id: Slowdown factor of endpoints that seem slow or recently did.
        unreachable_services: Services of which the gateway reaches no endpoint.
        is_draining: Whether it takes no new requests.
    """

    load_by_id: dict[EndpointId, EndpointLoad]
    suspects: tuple[EndpointId, ...] = ()
    pressure_by_service: dict[ServiceId, ServicePressure] = {}
    slowdown_by_id: dict[EndpointId, float] = {}
    transfers: tuple[DomainTransfers, ...] = ()
    unreachable_services: tuple[ServiceId, ...] = ()
    is_draining: bool = False


class LoadSummary(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """Load caused by all other gateways together.

    Attributes:
        slowdown_by_id: Lowest slowdown factor of each endpoint over all gateways.
    """

    load_by_id: dict[EndpointId, EndpointLoad]
    suspects: tuple[EndpointId, ...] = ()
    pressure_by_service: dict[ServiceId, ServicePressure] = {}
    slowdown_by_id: dict[EndpointId, float] = {}
    transfers: tuple[DomainTransfers, ...] = ()


class ReplicaLoad(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """Load caused by the gateways that are subscribed to one replica.

    Attributes:
        reads_gateways: Whether the replica reads `ReplicaGateways`. Builds before 2224b48 close a
            channel on which they get it.
    """

    gateways: int
    load_by_id: dict[EndpointId, EndpointLoad]
    suspects: tuple[EndpointId, ...] = ()
    pressure_by_service: dict[ServiceId, ServicePressure] = {}
    slowdown_by_id: dict[EndpointId, float] = {}
    transfers: tuple[DomainTransfers, ...] = ()
    reads_gateways: bool = False


class TraitCrashes(msgspec.Struct, frozen=True, array_like=True):
    """Endpoint crashes under requests with one trait.

    Attributes:
        trait: Fingerprint of a request, or of a part of its prompt.
        age_s_by_crash: Seconds since each crash.
        served_age_s: Seconds since a request with the trait was served; None if unknown.
    """

    trait: Fingerprint
    age_s_by_crash: dict[CrashId, float]
    served_age_s: float | None


class CrashExtract(msgspec.Struct, frozen=True, array_like=True, tag=27):
    """Bounded extract of a crash ledger, exchanged between gateways and replicas."""

    entries: tuple[TraitCrashes, ...]


class LimitObservation(msgspec.Struct, frozen=True, array_like=True):
    """What the latest response of an endpoint said about its limit.

    Attributes:
        started_ms: Start time of the endpoint's incarnation.
        rate: Requests per second that it takes from all gateways; None if it named no limit.
        age_s: Seconds since the response.
    """

    started_ms: int
    rate: float | None
    age_s: float


class LimitExtract(msgspec.Struct, frozen=True, array_like=True, tag=28):
    """Limits that endpoints named, exchanged between gateways and replicas."""

    observation_by_id: dict[EndpointId, LimitObservation]


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """Permits that one gateway wants for requests to the limited endpoints of a service.

    Attributes:
        received: Permits received since the gateway started.
        expected: Permits for requests that are expected soon.
        started_by_member: Streams that wait for a permit to go on.
        waiting_by_member: Other requests that wait for a permit.
        patience_s: Time for which these wait at most.
    """

    received: int
    expected: int
    started_by_member: dict[MemberId, int]
    waiting_by_member: dict[MemberId, int]
    patience_s: float


class PermitDemand(msgspec.Struct, frozen=True, array_like=True, tag=29):
    """All permits that one gateway wants.

    Attributes:
        number: Number of the message, which the answer repeats.
    """

    number: int
    demand_by_service: dict[ServiceId, ServiceDemand]


class RelayedDemand(msgspec.Struct, frozen=True, array_like=True, tag=30):
    """Demand of gateways that follow a replica, for the leader."""

    demand_by_gateway: dict[HostId, PermitDemand]
    domain_by_gateway: dict[HostId, FailureDomainId]


class IssuedPermit(msgspec.Struct, frozen=True, array_like=True):
    """Permission to send one request to a limited endpoint.

    Attributes:
        member_id: Member whose request waits for it; None if it is for an expected request.
    """

    endpoint_id: EndpointId
    member_id: MemberId | None


class ServiceGrant(msgspec.Struct, frozen=True, array_like=True):
    """Permits of one service for one gateway, and what to expect.

    Attributes:
        promised_by_member: Further requests of the gateway that will get a permit in time.
        backlog_s: Time after which one more request would get a permit.
    """

    permits: tuple[IssuedPermit, ...]
    promised_by_member: dict[MemberId, int]
    backlog_s: float


class PermitGrant(msgspec.Struct, frozen=True, array_like=True, tag=31):
    """Permits that the leader issues to one gateway.

    Attributes:
        number: Number of the latest demand that was considered.
    """

    number: int
    grant_by_service: dict[ServiceId, ServiceGrant]


class RelayedGrant(msgspec.Struct, frozen=True, array_like=True, tag=32):
    """Grants for gateways that follow another replica."""

    grant_by_gateway: dict[HostId, PermitGrant]


class ReplicaList(msgspec.Struct, frozen=True, array_like=True, tag=33):
    """All replicas of the catalog, pushed to a gateway whenever they have changed."""

    replicas: tuple[ReplicaAddress, ...]


class PeerGateway(msgspec.Struct, frozen=True, array_like=True):
    """A gateway that takes requests of others.

    Attributes:
        unreachable_services: Services of which it reaches no endpoint itself.
    """

    gateway_id: HostId
    handover: HandoverAddress
    failure_domain: FailureDomainId
    unreachable_services: tuple[ServiceId, ...]


class ReplicaGateways(msgspec.Struct, frozen=True, array_like=True, tag=34):
    """Gateways that follow one replica and take requests of others, for the other replicas."""

    gateways: tuple[PeerGateway, ...]


class PeerList(msgspec.Struct, frozen=True, array_like=True, tag=35):
    """Gateways to which one gateway may hand requests over, the preferred ones first."""

    peers: tuple[PeerGateway, ...]


CatalogMessage = (
    Submit
    | Submitted
    | Refused
    | ReadIndex
    | ReadIndexReply
    | AnnouncementReport
    | Subscribe
    | Subscribed
    | Delta
    | Freshness
    | LoadReport
    | LoadSummary
    | ReplicaLoad
    | CrashExtract
    | LimitExtract
    | PermitDemand
    | RelayedDemand
    | PermitGrant
    | RelayedGrant
    | ReplicaList
    | ReplicaGateways
    | PeerList
)
CATALOG_DECODER = msgspec.msgpack.Decoder(CatalogMessage)
