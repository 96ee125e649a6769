"""Limits of connections to endpoints."""

from __future__ import annotations

CONNECTION_READ_CHUNK_BYTES = 64 * 1024
# A connection whose last read had so many bytes takes turns with others; streams at the speed of a
# model have far less.
MIN_TURN_BYTES = 16 * 1024
# Response bytes buffered for a slow caller before reading from the endpoint is paused.
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
# Size above which a request body is written apart from its headers, which saves a copy of it.
LARGE_BODY_BYTES = 64 * 1024
MAX_RESPONSE_HEADER_BYTES = 16 * 1024
# Responses to earlier requests that are read past to get at the one that is due, and the bytes of
# their bodies; an endpoint may send them without end.
MAX_STALE_RESPONSES = 4
MAX_STALE_BYTES = 256 * 1024
# Of bytes that no request asked for, so many are shown in a log line.
LOGGED_BYTES = 48
# Heads of interim (1xx) responses that are skipped before a response.
MAX_INTERIM_RESPONSES = 4
# Time for which an endpoint gets a new connection for each request after it sent bytes that no
# request asked for.
UNREQUESTED_BYTES_MEMORY_S = 30.0
# A status line that a read has cut begins in so many bytes before the end of the read.
MAX_STATUS_LINE_START_BYTES = 16
# Requests of a connection whose answers may still come when a later one is due.
MAX_EARLIER_REQUESTS = 16
# Of what is wrong with an answer; it may quote the answer.
MAX_DETAIL_CHARACTERS = 120
# Characters of a number in a header.
MAX_NUMBER_CHARACTERS = 32
