"""Limits of connections to endpoints."""

from __future__ import annotations

CONNECTION_READ_CHUNK_BYTES = 64 * 1024
# Response bytes buffered for a slow caller before reading from the endpoint is paused.
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
# Size above which a request body is written apart from its headers, which saves a copy of it.
LARGE_BODY_BYTES = 64 * 1024
MAX_RESPONSE_HEADER_BYTES = 16 * 1024
# Responses to earlier requests that are read past to get at the one that is due, and the bytes of
# their bodies; an endpoint may send them without end.
MAX_STALE_RESPONSES = 4
MAX_STALE_BYTES = 256 * 1024
