"""Numbered result codes, documented in `docs/RESULT_CODES.md`."""

from __future__ import annotations

from enum import Enum, IntEnum


class Outcome(Enum):
    """Whether the requested work was executed."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Numbered result of a request or an operator call.

    Ranges: 1000 success, 2000 invalid request, 3000 limits, 4000 capacity, 5000 execution failures,
    6000 replicated state, 7000 communication between processes.
    """

    OK = 1000
    REPLAYED = 1001

    MALFORMED_REQUEST = 2000
    BODY_TOO_LARGE = 2001
    BAD_KEY = 2002
    UNKNOWN_MODEL = 2003
    UNKNOWN_SERVICE = 2004
    DEADLINE_INVALID = 2005
    IDEMPOTENCY_KEY_REUSED = 2006
    MEMBER_RETIRED = 2007
    HEADER_INVALID = 2008
    NOT_FOUND = 2009

    CAP_REACHED = 3000
    QUEUE_FULL = 3001
    DEADLINE_UNREACHABLE = 3002
    NO_AGREEMENT = 3003

    NO_ENDPOINT = 4000
    INCOMPLETE_PIPELINE = 4001
    HOST_DRAINING = 4002
    CONFIGURATION_LEASE_LAPSED = 4003
    RETRY_BUDGET_SPENT = 4004
    QUARANTINED = 4005
    ENDPOINTS_LIMITED = 4006
    ENDPOINTS_PAUSED = 4007

    ENDPOINT_LOST = 5000
    ANSWER_INCOMPLETE = 5001
    DEADLINE_EXCEEDED = 5002
    OUTCOME_UNKNOWN = 5003
    IN_PROGRESS_ELSEWHERE = 5004
    ENDPOINT_REFUSED = 5005
    CALLER_GONE = 5006

    NOT_LEADER = 6000
    NO_QUORUM = 6001
    REVISION_CONFLICT = 6002
    CHANGE_ID_REUSED = 6003
    CHANGE_ID_EXPIRED = 6004
    ALREADY_EXISTS = 6005
    UNKNOWN_ENTITY = 6006
    INVALID_CHANGE = 6007
    STOP_REFUSED = 6008
    COMPACTED = 6009
    OPERATOR_REFUSED = 6010
    CLAIM_UNAVAILABLE = 6011

    NOT_AUTHENTIC = 7000
    MESSAGE_INVALID = 7001
    MESSAGE_TOO_LARGE = 7002
    PEER_UNREACHABLE = 7003
    PEER_TIMEOUT = 7004
    STREAM_CLOSED = 7005
