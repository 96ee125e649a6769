"""HTTP client connections to endpoints that track whether a request may have been sent."""

from __future__ import annotations

from lagoonwing_http._client import ClientConnection, async_open_connection
from lagoonwing_http._exchange import Exchange, ResponseHead, ResponseMatch, ResponseMatcher
from lagoonwing_http._header_numbers import parse_seconds
from lagoonwing_http._pool import ConnectionPool, PoolSettings
from lagoonwing_http._read_turns import ReadTurns
from lagoonwing_http._request_body import BodyBudget, RequestBody
from lagoonwing_http._response_budget import HeldBytes, ResponseBudget, ResponseSource
from lagoonwing_http._response_writer import ResponseWriter, ignore_write_failure
from lagoonwing_http._unrequested_bytes import (
    ArrivalMoment,
    OnUnrequestedBytes,
    UnrequestedBytes,
)
from lagoonwing_http.errors import (
    AnswerBrokenError,
    AnswerTooLargeError,
    ConnectError,
    ForeignAnswerError,
)

__all__ = [
    "AnswerBrokenError",
    "AnswerTooLargeError",
    "ArrivalMoment",
    "BodyBudget",
    "ClientConnection",
    "ConnectError",
    "ConnectionPool",
    "Exchange",
    "ForeignAnswerError",
    "HeldBytes",
    "OnUnrequestedBytes",
    "PoolSettings",
    "ReadTurns",
    "RequestBody",
    "ResponseBudget",
    "ResponseHead",
    "ResponseMatch",
    "ResponseMatcher",
    "ResponseSource",
    "ResponseWriter",
    "UnrequestedBytes",
    "async_open_connection",
    "ignore_write_failure",
    "parse_seconds",
]
