"""Documents that the replicated log holds, whatever the check of this build says of them."""

from __future__ import annotations

import hashlib
import zlib

from lagoonwing_catalog import StoredDocument
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import DocumentVersion
from lagoonwing_registry.const import MAX_COMMITTED_DOCUMENTS


class CommittedDocuments:
    """Remembers the documents that were committed, as far as this replica has applied the log.

    An older build may have accepted a document that this one calls invalid. An operator whose
    answer was lost sends it again, and what was accepted is never refused.
    """

    def __init__(self) -> None:
        self._digests: dict[tuple[DocumentVersion, bytes], None] = {}

    @callback
    def record(self, stored: StoredDocument) -> None:
        """Remember a document; those recorded least recently are forgotten first."""
        try:
            digest = _digest(stored.original_bytes())
        except zlib.error:
            return  # What other builds wrote is applied as it is.
        self._digests.pop((stored.version, digest), None)
        self._digests[(stored.version, digest)] = None
        if len(self._digests) > MAX_COMMITTED_DOCUMENTS:
            del self._digests[next(iter(self._digests))]

    def holds(self, version: DocumentVersion, source: bytes) -> bool:
        """Return whether an operator's bytes were committed under this version."""
        return (version, _digest(source)) in self._digests


def _digest(source: bytes) -> bytes:
    """Return the digest of an operator's bytes."""
    return hashlib.blake2b(source, digest_size=16).digest()
