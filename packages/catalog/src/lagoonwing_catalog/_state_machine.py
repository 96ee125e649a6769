"""State machine of the replicated catalog; deterministic, without I/O."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lagoonwing_catalog._state import (
    CatalogState,
    StoredDocument,
    decode_snapshot,
    encode_snapshot,
)
from lagoonwing_catalog.messages import (
    ApplyResult,
    Command,
    MarkEndpointLost,
    PutDocument,
    PutEndpoint,
)
from lagoonwing_core.ids import LogIndex

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Encode a command for a log entry."""
    return _ENCODER.encode(command)


class CatalogStateMachine:
    """Applies commands to the catalog state.

    Attributes:
        state: Catalog state; modified by `apply` and `restore` only.
        on_applied: Callback after each change and each restore.
        on_document: Callback with each committed document, also an overtaken one, and with the
            active document of a restored snapshot.
    """

    def __init__(self, on_applied: Callable[[], None] = lambda: None) -> None:
        self.state = CatalogState()
        self.on_applied = on_applied
        self.on_document: Callable[[StoredDocument], None] = lambda stored: None

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply a command and return its encoded result."""
        changed = self._apply(_DECODER.decode(command))
        if changed:
            self.on_applied()
        return _ENCODER.encode(ApplyResult(self.state.revision, changed))

    def snapshot(self) -> bytes:
        """Return a snapshot of the state."""
        return encode_snapshot(self.state)

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with a snapshot; an empty one resets it."""
        self.state = decode_snapshot(snapshot) if snapshot else CatalogState()
        if self.state.stored is not None:
            self.on_document(self.state.stored)
        self.on_applied()

    def _apply(self, command: Command) -> bool:
        """Apply a command and return whether the state changed."""
        match command:
            case PutDocument(stored=stored):
                self.on_document(stored)
                return self.state.put_document(stored)
            case PutEndpoint(record=record):
                return self.state.put_endpoint(record)
            case MarkEndpointLost(
                endpoint_id=endpoint_id, started_ms=started_ms, sequence=sequence
            ):
                return self.state.mark_endpoint_lost(endpoint_id, started_ms, sequence)
