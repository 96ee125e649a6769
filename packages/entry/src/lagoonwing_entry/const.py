"""Headers, limits and periods of the entry host."""

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
# Headers between this and `MAX_HEADER_BYTES` are read only so that they can be refused.
MAX_HEADER_READ_BYTES = 32 * 1024
CONNECTION_IDLE_TIMEOUT_S = 60.0
CONNECTION_READ_CHUNK_BYTES = 64 * 1024

DEFAULT_MAX_TOKENS = 512
CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 256
MAX_PREFIX_HASHES = 16

IDLE_CONNECTION_LIFE_S = 30.0
IDLE_TICK_S = 0.1
# Longest time between the choice of an endpoint and the first byte of a dispatch.
MAX_SEND_DELAY_S = 1.5
# How long a call that may run only once is waited for after its caller was told `unknown`.
LATE_OUTCOME_S = 120.0
# Lets a refusal that comes with the deadline go before the answer that the deadline gives.
DEADLINE_SLACK_S = 0.05

# Wire attempt = attempt of the scheduler * stride + stages replaced within it.
ATTEMPT_STRIDE = 256
MAX_STAGE_REPLACEMENTS = 8
STAGE_EXPORT_TIMEOUT_S = 1.0

MAX_REPORTS_PER_S = 50.0
MAX_REPORTS_AT_ONCE = 8

STORE_RETRIES = 5
STORE_RETRY_S = 0.5
REPORT_RETRY_S = 0.2

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
