"""Configuration documents, routes and endpoint records, without I/O."""

from __future__ import annotations

from lagoonwing_catalog._crash_ledger import CrashLedger, crash_id_of, domain_digest
from lagoonwing_catalog._endpoints import is_unchanged, may_hold_address, supersedes
from lagoonwing_catalog._limit_ledger import LimitLedger
from lagoonwing_catalog._member_keys import canonical_key
from lagoonwing_catalog._route_keys import canonical_host
from lagoonwing_catalog._routes import RouteTable
from lagoonwing_catalog._state import (
    CatalogState,
    StoredDocument,
    decompress_document,
    make_stored_document,
)
from lagoonwing_catalog._state_machine import CatalogStateMachine, encode_command
from lagoonwing_catalog._validation import find_validation_issues
from lagoonwing_catalog.errors import ValidationIssue

__all__ = [
    "CatalogState",
    "CatalogStateMachine",
    "CrashLedger",
    "LimitLedger",
    "RouteTable",
    "StoredDocument",
    "ValidationIssue",
    "canonical_host",
    "canonical_key",
    "crash_id_of",
    "decompress_document",
    "domain_digest",
    "encode_command",
    "find_validation_issues",
    "is_unchanged",
    "make_stored_document",
    "may_hold_address",
    "supersedes",
]
