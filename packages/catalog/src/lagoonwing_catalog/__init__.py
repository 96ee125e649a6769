"""Configuration documents, routes and endpoint records, without I/O."""

from __future__ import annotations

from lagoonwing_catalog._endpoints import is_newer, says_the_same
from lagoonwing_catalog._routes import RouteTable
from lagoonwing_catalog._state import (
    CatalogState,
    StoredDocument,
    store_document,
    unpack_document,
)
from lagoonwing_catalog._state_machine import CatalogStateMachine, encode_command
from lagoonwing_catalog._validation import find_faults
from lagoonwing_catalog.errors import DocumentFault

__all__ = [
    "CatalogState",
    "CatalogStateMachine",
    "DocumentFault",
    "RouteTable",
    "StoredDocument",
    "encode_command",
    "find_faults",
    "is_newer",
    "says_the_same",
    "store_document",
    "unpack_document",
]
