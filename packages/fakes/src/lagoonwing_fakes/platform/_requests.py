"""Requests sent by endpoints and callers of the platform."""

from __future__ import annotations

import json
from typing import Any

from lagoonwing_fakes.platform.const import ADDRESS, CALLER_KEY, EVENTS, FAILURE_DOMAIN, HOST_NAME
from lagoonwing_platform.const import HEADER_ATTEMPT_ID, HEADER_DEADLINE_MS, HEADER_TOKENS

_SLOTS = 8
_PROMPT_TOKENS = 10


def heartbeat_path(endpoint_id: str) -> str:
    """Return the path of an endpoint's heartbeats."""
    return f"/lagoonwing/instances/{endpoint_id}/heartbeat"


def make_heartbeat(
    service: str,
    port: int,
    sequence: int,
    kind: str | None,
    layers: tuple[int, int] | None,
    /,
    **changes: Any,
) -> bytes:
    """Build the body of a heartbeat.

    Args:
        service: Service of the endpoint.
        port: Port that the endpoint listens on.
        sequence: Sequence number of the heartbeat.
        kind: Accelerator kind, if the endpoint is an engine.
        layers: Range of layers held, end-exclusive, if any.
        changes: Overrides of the fields of a ready endpoint.
    """
    body: dict[str, Any] = {
        "service": service,
        "address": f"{ADDRESS}:{port}",
        "zone": FAILURE_DOMAIN,
        "version": "v1",
        "slots": _SLOTS,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": sequence,
        "born": 1,
    }
    if kind is not None:
        body["kind"] = kind
    if layers is not None:
        body["layers"] = {"from": layers[0], "to": layers[1], "version": 1}
    return json.dumps({**body, **changes}).encode()


def make_caller_headers(
    route: str, attempt_id: str, deadline_ms: int, events: int = EVENTS
) -> dict[str, str]:
    """Build the headers of a caller's request.

    Args:
        route: Name of the route.
        attempt_id: Id of the attempt.
        deadline_ms: Deadline of the request.
        events: Number of events requested from a stream.
    """
    headers = {
        "Host": HOST_NAME,
        "Authorization": f"Bearer {CALLER_KEY}",
        HEADER_ATTEMPT_ID: attempt_id,
        HEADER_DEADLINE_MS: str(deadline_ms),
    }
    if route == "stream":
        headers[HEADER_TOKENS] = f"{_PROMPT_TOKENS},{events}"
    return headers
