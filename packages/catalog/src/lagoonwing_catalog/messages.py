"""Commands of the catalog's log, and messages between replicas and gateways."""

from __future__ import annotations

import msgspec

from lagoonwing_catalog._state import StoredDocument
from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.ids import EndpointId, FailureDomainId, Fingerprint, HostId, Revision
from lagoonwing_core.result_codes import ResultCode


class PutDocument(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Bring a document in force."""

    stored: StoredDocument


class PutEndpoint(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Take in what an endpoint has announced."""

    record: EndpointRecord


class LoseEndpoint(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Mark an endpoint as silent since its last announcement."""

    endpoint_id: EndpointId
    started_ms: int
    sequence: int


Command = PutDocument | PutEndpoint | LoseEndpoint


class Applied(msgspec.Struct, frozen=True, array_like=True):
    """Result of a command.

    Attributes:
        changed: Whether the command changed the state.
    """

    revision: Revision
    changed: bool


class Submit(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Ask the leader to append an encoded command."""

    command: bytes


class Submitted(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The command is committed; `result` is the encoded `Applied`."""

    result: bytes


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A call was not done."""

    code: ResultCode
    detail: str


class ReadIndex(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Ask the leader for the revision that a current read must see."""


class ReadAt(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Revision that a current read must see."""

    revision: Revision


class Heard(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Endpoints that a replica has heard since its last message.

    Attributes:
        sequence_by_id: Number of the latest announcement of each.
    """

    sequence_by_id: dict[EndpointId, tuple[int, int]]


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Ask a replica for every change after a revision.

    Attributes:
        after: Last revision that the gateway holds; 0 for everything.
        failure_domain: Where the gateway is.
    """

    after: Revision
    failure_domain: FailureDomainId


class ReplicaAddress(msgspec.Struct, frozen=True, array_like=True):
    """Where a replica listens."""

    host_id: HostId
    address: str
    port: int


class Subscribed(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """The subscription has begun.

    Attributes:
        gateways: Gateways alive, the new one included, as far as the replica knows.
    """

    replicas: tuple[ReplicaAddress, ...]
    gateways: int


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Changes up to a revision.

    Attributes:
        is_whole: Whether records that are not named don't exist.
        document: Packed document, if it has changed.
    """

    revision: Revision
    is_whole: bool
    document: bytes | None
    endpoints: tuple[EndpointRecord, ...]


class Current(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """How current the replica is.

    Attributes:
        age_s: Seconds since the replica was known to hold every committed change.
        gateways: Gateways known to be alive.
    """

    revision: Revision
    age_s: float
    gateways: int


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """Work in flight at one endpoint.

    Attributes:
        sequences: Requests that it runs or will run.
        kv_token_layers: Reserved KV cache, in tokens times layers.
        read_ms: Prompt reading still to be done, in milliseconds of the endpoint.
    """

    sequences: int
    kv_token_layers: int
    prefill_ms: int


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """Work that one gateway has in flight.

    Attributes:
        suspects: Endpoints that the gateway gives no work.
        crashes_by_request: Endpoints that died lately while they ran a request.
    """

    load_by_id: dict[EndpointId, EndpointLoad]
    suspects: tuple[EndpointId, ...] = ()
    crashes_by_request: dict[Fingerprint, int] = {}


class LoadSummary(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """Work that all other gateways together have in flight."""

    load_by_id: dict[EndpointId, EndpointLoad]
    suspects: tuple[EndpointId, ...] = ()
    crashes_by_request: dict[Fingerprint, int] = {}


class ReplicaLoad(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """Work of the gateways that are subscribed at one replica."""

    gateways: int
    load_by_id: dict[EndpointId, EndpointLoad]
    suspects: tuple[EndpointId, ...] = ()
    crashes_by_request: dict[Fingerprint, int] = {}


CatalogMessage = (
    Submit
    | Submitted
    | Refused
    | ReadIndex
    | ReadAt
    | Heard
    | Subscribe
    | Subscribed
    | Delta
    | Current
    | LoadReport
    | LoadSummary
    | ReplicaLoad
)
CATALOG_DECODER = msgspec.msgpack.Decoder(CatalogMessage)
