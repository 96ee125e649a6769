"""Headers, intervals and limits of the fake endpoints."""

from __future__ import annotations

HEADER_REQUEST_ID = "X-Request-Id"
HEADER_ATTEMPT = "X-Attempt"
HEADER_INCARNATION = "X-Incarnation"
HEADER_OUTCOME = "X-Outcome"
HEADER_PRIORITY = "X-Priority"
HEADER_RESUMED_FROM = "X-Resumed-From"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"

OUTCOME_NOT_RUN = "not_run"

DEFAULT_TOKENS = 16
DEFAULT_RENEW_INTERVAL_S = 0.8
ANNOUNCE_TIMEOUT_S = 1.0
ANNOUNCE_RETRY_S = 0.1
LEAVE_TIMEOUT_S = 30.0
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_CACHE_EVENTS = 1000
# Every n-th cache event is never reported.
CACHE_EVENT_DROP_INTERVAL = 50
CACHE_EVENT_DELAY_S = 0.2
PREFIX_LENGTH_CHARS = 256
MAX_PREFIXES = 16
CRASH_EXIT_CODE = 70
