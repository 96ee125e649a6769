"""Catalog state and its snapshots."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

import msgspec

from lagoonwing_catalog._endpoints import INACTIVE_STATES, may_hold_address, supersedes
from lagoonwing_catalog.const import MAX_INACTIVE_RECORDS
from lagoonwing_catalog.models import Document, EndpointRecord, EndpointState
from lagoonwing_core.ids import DocumentVersion, EndpointId, Revision

# Fastest level: routes are so repetitive that higher levels gain little.
_COMPRESSION_LEVEL = 1

_ENCODER = msgspec.msgpack.Encoder()
_DOCUMENT_DECODER = msgspec.msgpack.Decoder(Document)


class StoredDocument(msgspec.Struct, frozen=True, array_like=True):
    """A document and the original bytes from the operator, both compressed.

    Large documents are highly repetitive and compress well.

    Attributes:
        compressed_document: Document as encoded by `compress_document`.
        compressed_source: Compressed original bytes.
        revision: Revision at which the document became active.
    """

    version: DocumentVersion
    compressed_document: bytes
    compressed_source: bytes
    revision: Revision = Revision(0)

    def original_bytes(self) -> bytes:
        """Return the bytes as sent by the operator."""
        return zlib.decompress(self.compressed_source)


def make_stored_document(document: Document, source: bytes) -> StoredDocument:
    """Return a document with its original bytes, for a PutDocument command."""
    return StoredDocument(
        document.version, compress_document(document), zlib.compress(source, _COMPRESSION_LEVEL)
    )


def compress_document(document: Document) -> bytes:
    """Return a document in its stored and transmitted form."""
    return zlib.compress(_ENCODER.encode(document), _COMPRESSION_LEVEL)


def decompress_document(compressed_document: bytes) -> Document:
    """Return a document from its stored form."""
    return _DOCUMENT_DECODER.decode(zlib.decompress(compressed_document))


@dataclass(slots=True)
class CatalogState:
    """State changed by the commands of the replicated log.

    Attributes:
        revision: Number of changes so far; never decreases.
        last_evicted: Revision of the newest evicted record.
    """

    revision: Revision = Revision(0)
    stored: StoredDocument | None = None
    endpoint_by_id: dict[EndpointId, EndpointRecord] = field(default_factory=dict)
    last_evicted: Revision = Revision(0)

    @property
    def version(self) -> DocumentVersion | None:
        """Version of the active document, if any."""
        return None if self.stored is None else self.stored.version

    def put_document(self, stored: StoredDocument) -> bool:
        """Activate a document if its version is the highest; return whether it was."""
        if self.version is not None and stored.version <= self.version:
            return False
        self.stored = msgspec.structs.replace(stored, revision=self._next_revision())
        return True

    def put_endpoint(self, announced: EndpointRecord) -> bool:
        """Apply an announcement unless it is outdated; return whether it was applied."""
        if not supersedes(self.endpoint_by_id.get(announced.endpoint_id), announced):
            return False
        if announced.state is not EndpointState.LEFT and not self._claim_address(announced):
            return False
        self._store(announced)
        return True

    def mark_endpoint_lost(self, endpoint_id: EndpointId, started_ms: int, sequence: int) -> bool:
        """Mark an endpoint as lost; return whether its record changed."""
        record = self.endpoint_by_id.get(endpoint_id)
        if record is None or record.started_ms != started_ms or record.state in INACTIVE_STATES:
            return False
        lost = msgspec.structs.replace(
            record,
            state=EndpointState.LOST,
            sequence=max(sequence, record.sequence),
            layers=None,
        )
        self._store(lost)
        return True

    def changed_after(self, revision: Revision) -> tuple[EndpointRecord, ...]:
        """Return the records changed after a revision, ordered by revision."""
        changed = [record for record in self.endpoint_by_id.values() if record.revision > revision]
        return tuple(sorted(changed, key=lambda record: record.revision))

    def _claim_address(self, announced: EndpointRecord) -> bool:
        """Mark the previous owner of the address as left; return False if that owner is newer.

        A delayed announcement of a previous owner must not reactivate it.
        """
        for other in list(self.endpoint_by_id.values()):
            if (
                other.endpoint_id == announced.endpoint_id
                or other.socket_address != announced.socket_address
            ):
                continue
            if other.started_ms > announced.started_ms:
                return False
            if may_hold_address(other):
                self._store(msgspec.structs.replace(other, state=EndpointState.LEFT, layers=None))
        return True

    def _store(self, record: EndpointRecord) -> None:
        """Store a record with the next revision."""
        self.endpoint_by_id[record.endpoint_id] = msgspec.structs.replace(
            record, revision=self._next_revision()
        )
        self._evict_inactive()

    def _next_revision(self) -> Revision:
        """Increment and return the revision."""
        self.revision = Revision(self.revision + 1)
        return self.revision

    def _evict_inactive(self) -> None:
        """Evict the older half of the records of inactive endpoints."""
        if len(self.endpoint_by_id) <= MAX_INACTIVE_RECORDS:
            return
        inactive = [
            record for record in self.endpoint_by_id.values() if record.state in INACTIVE_STATES
        ]
        for record in sorted(inactive, key=lambda record: record.revision)[: len(inactive) // 2]:
            del self.endpoint_by_id[record.endpoint_id]
            self.last_evicted = max(self.last_evicted, record.revision)


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """Serialized form of the state."""

    revision: Revision
    last_evicted: Revision
    stored: StoredDocument | None
    endpoints: tuple[EndpointRecord, ...]


_DECODER = msgspec.msgpack.Decoder(_Snapshot)


def encode_snapshot(state: CatalogState) -> bytes:
    """Serialize the state."""
    endpoints = tuple(state.endpoint_by_id.values())
    return _ENCODER.encode(_Snapshot(state.revision, state.last_evicted, state.stored, endpoints))


def decode_snapshot(payload: bytes) -> CatalogState:
    """Deserialize the state.

    Raises:
        msgspec.MsgspecError: The payload is not a valid snapshot.
    """
    snapshot = _DECODER.decode(payload)
    endpoint_by_id = {record.endpoint_id: record for record in snapshot.endpoints}
    return CatalogState(snapshot.revision, snapshot.stored, endpoint_by_id, snapshot.last_evicted)
