"""Limits of connections to endpoints."""

from __future__ import annotations

CONNECTION_READ_CHUNK_BYTES = 64 * 1024
# Bytes of an answer that may wait for a slow caller before the endpoint is no longer read.
MAX_UNREAD_ANSWER_BYTES = 256 * 1024
MAX_ANSWER_HEADER_BYTES = 16 * 1024
