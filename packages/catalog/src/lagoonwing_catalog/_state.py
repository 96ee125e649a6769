"""Tables of the catalog and their snapshot."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

import msgspec

from lagoonwing_catalog._endpoints import GONE_STATES, holds_address, is_newer
from lagoonwing_catalog.const import MAX_GONE_RECORDS
from lagoonwing_catalog.models import Document, EndpointRecord, EndpointState
from lagoonwing_core.ids import DocumentVersion, EndpointId, Revision

# The fastest level: routes repeat so much that more effort gains little.
_COMPRESSION = 1

_ENCODER = msgspec.msgpack.Encoder()
_DOCUMENT_DECODER = msgspec.msgpack.Decoder(Document)


class StoredDocument(msgspec.Struct, frozen=True, array_like=True):
    """A document with the operator's own bytes; large ones repeat themselves, so both are packed.

    Attributes:
        packed: Document as `pack_document` makes it.
        source: Compressed bytes as the operator sent them.
        revision: Change that brought it in force.
    """

    version: DocumentVersion
    packed: bytes
    source: bytes
    revision: Revision = Revision(0)

    def operator_bytes(self) -> bytes:
        """Return the bytes as the operator sent them."""
        return zlib.decompress(self.source)


def store_document(document: Document, source: bytes) -> StoredDocument:
    """Return a document with the operator's own bytes, to be put."""
    return StoredDocument(
        document.version, pack_document(document), zlib.compress(source, _COMPRESSION)
    )


def pack_document(document: Document) -> bytes:
    """Return a document as it is kept and sent."""
    return zlib.compress(_ENCODER.encode(document), _COMPRESSION)


def unpack_document(packed: bytes) -> Document:
    """Return a document that was packed."""
    return _DOCUMENT_DECODER.decode(zlib.decompress(packed))


@dataclass(slots=True)
class CatalogState:
    """Everything that the replicated log's commands change.

    Attributes:
        revision: Number of changes so far; never goes back.
        forgotten: Revision of the newest record that was dropped.
    """

    revision: Revision = Revision(0)
    stored: StoredDocument | None = None
    endpoint_by_id: dict[EndpointId, EndpointRecord] = field(default_factory=dict)
    forgotten: Revision = Revision(0)

    @property
    def version(self) -> DocumentVersion | None:
        """Number of the document in force, if there is one."""
        return None if self.stored is None else self.stored.version

    def put_document(self, stored: StoredDocument) -> bool:
        """Bring a document in force if its number is the highest; return whether it was."""
        if self.version is not None and stored.version <= self.version:
            return False
        self.stored = msgspec.structs.replace(stored, revision=self._next())
        return True

    def put_endpoint(self, announced: EndpointRecord) -> bool:
        """Take an announcement in unless a newer one is known; return whether it was."""
        if not is_newer(self.endpoint_by_id.get(announced.endpoint_id), announced):
            return False
        if announced.state is not EndpointState.LEFT and not self._takes_address(announced):
            return False
        self._store(announced)
        return True

    def lose_endpoint(self, endpoint_id: EndpointId, started_ms: int, sequence: int) -> bool:
        """Mark an endpoint as silent; return whether that changes anything."""
        record = self.endpoint_by_id.get(endpoint_id)
        if record is None or record.started_ms != started_ms or record.state in GONE_STATES:
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
        """Return the records that changed after a revision, in the order of changes."""
        changed = [one for one in self.endpoint_by_id.values() if one.revision > revision]
        return tuple(sorted(changed, key=lambda record: record.revision))

    def _takes_address(self, announced: EndpointRecord) -> bool:
        """Replace whoever held the address before; return false if its holder is newer.

        A delayed announcement of a former holder must not bring it back.
        """
        for other in list(self.endpoint_by_id.values()):
            if other.endpoint_id == announced.endpoint_id or other.key != announced.key:
                continue
            if other.started_ms > announced.started_ms:
                return False
            if holds_address(other):
                self._store(msgspec.structs.replace(other, state=EndpointState.LEFT, layers=None))
        return True

    def _store(self, record: EndpointRecord) -> None:
        """Store a record under the next revision."""
        self.endpoint_by_id[record.endpoint_id] = msgspec.structs.replace(
            record, revision=self._next()
        )
        self._forget_old()

    def _next(self) -> Revision:
        """Return the number of the next change."""
        self.revision = Revision(self.revision + 1)
        return self.revision

    def _forget_old(self) -> None:
        """Drop the oldest records of endpoints that are gone."""
        if len(self.endpoint_by_id) <= MAX_GONE_RECORDS:
            return
        gone = [one for one in self.endpoint_by_id.values() if one.state in GONE_STATES]
        for record in sorted(gone, key=lambda one: one.revision)[: len(gone) // 2]:
            del self.endpoint_by_id[record.endpoint_id]
            self.forgotten = max(self.forgotten, record.revision)


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """Encoded form of the state."""

    revision: Revision
    forgotten: Revision
    stored: StoredDocument | None
    endpoints: tuple[EndpointRecord, ...]


_DECODER = msgspec.msgpack.Decoder(_Snapshot)


def encode_snapshot(state: CatalogState) -> bytes:
    """Return the whole state as bytes."""
    endpoints = tuple(state.endpoint_by_id.values())
    return _ENCODER.encode(_Snapshot(state.revision, state.forgotten, state.stored, endpoints))


def decode_snapshot(payload: bytes) -> CatalogState:
    """Return the state that a snapshot holds.

    Raises:
        msgspec.MsgspecError: The bytes are no snapshot.
    """
    snapshot = _DECODER.decode(payload)
    endpoint_by_id = {record.endpoint_id: record for record in snapshot.endpoints}
    return CatalogState(snapshot.revision, snapshot.stored, endpoint_by_id, snapshot.forgotten)
