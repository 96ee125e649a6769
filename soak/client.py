"""HTTP client for the processes of the deployment."""

from __future__ import annotations

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPResponse
from tornado.httputil import HTTPInputError

from lagoonwing_fakes.platform import SystemProcess, make_caller_headers
from lagoonwing_fakes.platform.const import CALLER_PORT
from soak.const import CALL_TIMEOUT_S, DEADLINE_MS, EVENTS
from soak.crashing_part import HEADER_PROMPT_PARTS


async def async_fetch(
    process: SystemProcess,
    port: int,
    path: str,
    body: bytes | None,
    headers: dict[str, str] | None = None,
) -> HTTPResponse | None:
    """Send an HTTP request to a process; return `None` if no response arrives."""
    try:
        return await AsyncHTTPClient(force_instance=True).fetch(
            f"http://{process.address}:{port}{path}",
            method="GET" if body is None else "POST",
            body=body,
            headers=headers,
            raise_error=False,
            connect_timeout=1.0,
            request_timeout=CALL_TIMEOUT_S if port == CALLER_PORT else 1.0,
        )
    except (OSError, HTTPError, HTTPInputError):
        # Expected while the process is killed or paused.
        return None


async def async_send_request(
    process: SystemProcess, kind: str, attempt_id: str, parts: str = ""
) -> HTTPResponse | None:
    """Send a caller's request to a gateway; return `None` if no response arrives."""
    headers = make_caller_headers(kind, attempt_id, DEADLINE_MS, EVENTS)
    if kind == "stream":
        headers[HEADER_PROMPT_PARTS] = parts
    body = None if kind == "safe" else f"question {attempt_id}".encode()
    return await async_fetch(process, CALLER_PORT, f"/{kind}/x", body, headers)
