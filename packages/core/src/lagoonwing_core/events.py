"""Numbered log events, documented in `docs/EVENTS.md`."""

from __future__ import annotations

from enum import IntEnum

from absl import logging


class EventCode(IntEnum):
    """Number of a log event.

    Ranges: 100 process, 200 requests, 300 routing and placement, 400 limits, 500 endpoints and
    membership, 600 replicated state, 700 peer connections, 800 engine orders and planned stops.
    """

    PROCESS_STARTED = 100
    PROCESS_STOPPING = 101
    PROCESS_STOPPED = 102
    COMPONENT_FAILED = 104
    GATEWAY_DRAINED = 105
    SETTINGS_RELOADED = 106
    LOG_LINES_DROPPED = 107
    LOOP_DELAYED = 108

    REQUEST_RECEIVED = 200
    REQUEST_FINISHED = 201
    REQUEST_REFUSED = 202
    CALLER_LOST = 203

    ROUTE_CHOSEN = 300
    ROUTE_REFUSED = 301
    ATTEMPT_FAILED = 302
    STAGE_REPLACED = 303
    ANSWER_DISCARDED = 304
    ATTEMPT_ENDED = 305
    PATH_CHOSEN = 306
    STREAM_LATE = 307
    STREAM_UNSERVED = 308
    CRASH_RECORDED = 309
    REQUEST_QUARANTINED = 310
    UNREQUESTED_BYTES = 311
    REQUEST_HANDED_OVER = 312
    HANDOVER_ENDED = 313
    HANDOVER_RECEIVED = 314

    ADMISSION_DECIDED = 400
    ALLOTMENT_CHANGED = 401

    ENDPOINT_JOINED = 500
    ENDPOINT_LEAVING = 501
    ENDPOINT_EXPIRED = 502
    ENDPOINT_REFUSED = 503
    ENDPOINT_ANNOUNCED = 504
    ENDPOINT_SUSPECTED = 505
    ENDPOINT_LIMIT_CHANGED = 506
    ENDPOINT_SLOW = 507
    SERVICE_UNREACHABLE = 508
    SERVICE_REACHED = 509
    HOST_SUSPECTED = 510
    HOST_LOST = 511
    HOST_JOINED = 512
    ENDPOINT_DECLINES = 513

    LEADER_ELECTED = 600
    LEADER_LOST = 601
    CHANGE_ACCEPTED = 602
    CHANGE_REFUSED = 603
    REVISION_APPLIED = 604
    CONFIGURATION_LEASE_LAPSED = 605
    CONFIGURATION_LEASE_REGAINED = 606
    VOTER_CHANGED = 607
    LOG_RECOVERED = 608
    SNAPSHOT_TAKEN = 609
    CLAIM_DECIDED = 610
    STORAGE_FAILED = 611
    DOCUMENT_ACCEPTED = 612
    DOCUMENT_REFUSED = 613
    ROUTE_SHADOWED = 614

    PEER_CONNECTED = 700
    PEER_LOST = 701
    PEER_REFUSED = 702
    SOURCE_CHANGED = 703

    STOP_ORDERED = 800
    STOP_SAFE = 801
    STOP_CANCELLED = 802
    PLACEMENT_ORDERED = 810
    ORDER_FAILED = 811


class EventFields:
    """Code and fields of one event; formatting is deferred until the line is written."""

    def __init__(self, code: EventCode, values: dict[str, object]) -> None:
        self.code = code
        self.values = values

    def __str__(self) -> str:
        """Return the event as `key=value` pairs."""
        pairs = " ".join(f"{key}={_quote(value)}" for key, value in self.values.items())
        return f"event={self.code.value} name={self.code.name.lower()} {pairs}"


def log_event(code: EventCode, /, **fields: object) -> None:
    """Write one structured log line.

    Args:
        code: Event code.
        **fields: Event fields, logged in the given order.
    """
    if logging.get_verbosity() < logging.INFO:
        return
    logging.info("%s", EventFields(code, fields))


def _quote(value: object) -> str:
    """Return a value as text, quoted if it contains a space, a newline, `=` or a quote."""
    text = str(value)
    if text and not any(character in text for character in ' "=\n'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
