"""Limits of connections to endpoints."""

from __future__ import annotations

CONNECTION_READ_CHUNK_BYTES = 64 * 1024
# Response bytes buffered for a slow caller before reading from the endpoint is paused.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
MAX_RESPONSE_HEADER_BYTES = 16 * 1024
