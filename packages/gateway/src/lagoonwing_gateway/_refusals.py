"""Answers of the gateway's own."""

from __future__ import annotations

import random

from lagoonwing_core.result_codes import ResultCode
from lagoonwing_gateway.const import (
    QUARANTINE_RETRY_S,
    RETRY_AFTER_JITTER_S,
    RETRY_AFTER_S,
    START_S,
)
from lagoonwing_gateway.models import GatewayRefusal, Promise


def not_run(code: ResultCode, detail: str, rng: random.Random) -> GatewayRefusal:
    """Return a refusal of a request that has not run, with a jittered time to come back."""
    retry_after_s = RETRY_AFTER_S + rng.random() * RETRY_AFTER_JITTER_S
    return GatewayRefusal(code, detail, Promise.NOT_RUN, retry_after_s)


def not_started(uptime_s: float, rng: random.Random) -> GatewayRefusal:
    """Return a refusal before a configuration is known, until when one usually is."""
    left_s = max(RETRY_AFTER_S, START_S - uptime_s)
    retry_after_s = left_s + rng.random() * RETRY_AFTER_JITTER_S
    detail = "no configuration is known yet"
    return GatewayRefusal(
        ResultCode.CONFIGURATION_LEASE_LAPSED, detail, Promise.NOT_RUN, retry_after_s
    )


def no_endpoint(detail: str, rng: random.Random) -> GatewayRefusal:
    """Return a refusal for want of endpoints with room."""
    return not_run(ResultCode.NO_ENDPOINT, detail, rng)


def quarantined() -> GatewayRefusal:
    """Return the refusal of a request that endpoints die of."""
    detail = "endpoints that ran this request have died"
    return GatewayRefusal(ResultCode.QUARANTINED, detail, Promise.NOT_RUN, QUARANTINE_RETRY_S)


def unknown(code: ResultCode, detail: str) -> GatewayRefusal:
    """Return the answer to a request that may have run."""
    return GatewayRefusal(code, detail, Promise.UNKNOWN)


def final(code: ResultCode, detail: str) -> GatewayRefusal:
    """Return a refusal that a new try can't change."""
    return GatewayRefusal(code, detail)
