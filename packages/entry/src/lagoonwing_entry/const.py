"""Header names, limits, intervals and status codes of the entry host."""

from __future__ import annotations

from http import HTTPStatus

from lagoonwing_core.result_codes import ResultCode

HEADER_REQUEST_ID = "X-Request-Id"
HEADER_ATTEMPT = "X-Attempt"
HEADER_PRIORITY = "X-Priority"
HEADER_OUTCOME = "X-Outcome"
HEADER_RESULT_CODE = "X-Result-Code"
HEADER_DEADLINE_MS = "X-Deadline-Ms"
HEADER_RESUMED_FROM = "X-Resumed-From"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"
HEADER_RETRY_AFTER = "Retry-After"

MAX_KEY_BYTES = 256
MAX_IDEMPOTENCY_KEY_BYTES = 200
MAX_HEADER_BYTES = 16 * 1024
# Headers larger than `MAX_HEADER_BYTES` but within this limit are read so that the request can be
# answered with a refusal; above it the connection is closed.
MAX_HEADER_READ_BYTES = 32 * 1024
CONNECTION_IDLE_TIMEOUT_S = 60.0
CONNECTION_READ_CHUNK_BYTES = 64 * 1024

DEFAULT_MAX_TOKENS = 512
ESTIMATED_CHARACTERS_PER_TOKEN = 4
PREFIX_BLOCK_CHARACTERS = 256
MAX_PREFIX_HASHES = 16

IDLE_CONNECTION_LIFETIME_S = 30.0
IDLE_TICK_INTERVAL_S = 0.1
# Maximum time between selecting an endpoint and sending the first byte of a dispatch.
MAX_SEND_DELAY_S = 1.5
# How long to wait for the result of a non-idempotent call after its caller received `unknown`.
LATE_RESULT_TIMEOUT_S = 120.0
# A refusal issued at the deadline takes precedence over the generic deadline response.
DEADLINE_GRACE_S = 0.05

# Attempt number on the wire = scheduler attempt * stride + stages replaced during that attempt.
ATTEMPT_STRIDE = 256
MAX_STAGE_REPLACEMENTS = 8
STAGE_EXPORT_TIMEOUT_S = 1.0

MAX_POLLS_PER_S = 50.0
MAX_CONCURRENT_POLLS = 8

MAX_STORE_ATTEMPTS = 5
STORE_RETRY_DELAY_S = 0.5
SUSPECT_REPORT_RETRY_DELAY_S = 0.2

STATUS_BY_CODE: dict[ResultCode, int] = {
    ResultCode.MALFORMED_REQUEST: HTTPStatus.BAD_REQUEST,
    ResultCode.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ResultCode.BAD_KEY: HTTPStatus.UNAUTHORIZED,
    ResultCode.UNKNOWN_MODEL: HTTPStatus.NOT_FOUND,
    ResultCode.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    ResultCode.NOT_FOUND: HTTPStatus.NOT_FOUND,
    ResultCode.DEADLINE_INVALID: HTTPStatus.BAD_REQUEST,
    ResultCode.IDEMPOTENCY_KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    ResultCode.MEMBER_RETIRED: HTTPStatus.FORBIDDEN,
    ResultCode.HEADER_INVALID: HTTPStatus.BAD_REQUEST,
    ResultCode.CAP_REACHED: HTTPStatus.TOO_MANY_REQUESTS,
    ResultCode.QUEUE_FULL: HTTPStatus.TOO_MANY_REQUESTS,
    ResultCode.NO_AGREEMENT: HTTPStatus.FORBIDDEN,
    ResultCode.QUARANTINED: HTTPStatus.UNPROCESSABLE_ENTITY,
    ResultCode.ENDPOINT_LOST: HTTPStatus.BAD_GATEWAY,
    ResultCode.ANSWER_INCOMPLETE: HTTPStatus.BAD_GATEWAY,
    ResultCode.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
    ResultCode.OUTCOME_UNKNOWN: HTTPStatus.BAD_GATEWAY,
    ResultCode.IN_PROGRESS_ELSEWHERE: HTTPStatus.CONFLICT,
    ResultCode.ENDPOINT_REFUSED: HTTPStatus.BAD_GATEWAY,
}
DEFAULT_REFUSAL_STATUS = HTTPStatus.SERVICE_UNAVAILABLE
