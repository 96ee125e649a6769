"""Answers that could be taken for something else: repeated, spliced or cut in their head."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest
from platform_deployment import Deployment, async_start_engines
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.simple_httpclient import HTTPStreamClosedError

from lagoonwing_fakes.platform import WorkHandler, make_caller_headers, make_document
from lagoonwing_fakes.platform.const import ADDRESS, EVENTS
from lagoonwing_platform.const import HEADER_ATTEMPT_ID, HEADER_NOT_EXECUTED, HEADER_SIGNATURE

COMPLETE_STREAM = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
ERROR_TEXT = b"the engine has failed"
# Longer than an endpoint is avoided after it refused a request.
AVOIDED_S = 0.5
MAX_REQUESTS = 20
# Time after which a begun stream breaks off; its events have been passed on by then.
BREAK_OFF_S = 0.05
# Statuses that promise that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def _routes(**changes: Any) -> dict[str, Any]:
    """Return document changes that change the stream route."""
    routes = json.loads(make_document())["routes"]
    routes[2].update(changes)
    return {"routes": routes}


def _raw_stream(handler: WorkHandler) -> Any:
    """Return the connection of a request, to write raw bytes to."""
    connection: Any = handler.request.connection
    handler._finished = True
    return connection.stream


def _override_all(deployment: Deployment, handle: Any) -> None:
    """Handle the requests to all endpoints with one function."""
    for endpoint in deployment.endpoints:
        endpoint.handler_override = handle


def _refusal(attempt_id: str | None) -> bytes:
    """Return a refusal as an endpoint writes it."""
    id_line = "" if attempt_id is None else f"{HEADER_ATTEMPT_ID}: {attempt_id}\r\n"
    return (
        f"HTTP/1.1 503 Full\r\n{id_line}{HEADER_NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n"
    ).encode()


@pytest.mark.parametrize("is_named", [True, False], ids=["with_id", "without_id"])
async def test_refusal_written_again_on_a_kept_connection_refuses_nothing(
    deployment: Deployment, is_named: bool
) -> None:
    """A request that an endpoint runs is not called not run because of an earlier refusal."""
    await async_start_engines(deployment, **_routes(resumable=False))
    refused_by_stream: dict[Any, str] = {}
    ran_ids: list[str] = []

    async def handle(handler: WorkHandler) -> None:
        stream = _raw_stream(handler)
        refused_id = refused_by_stream.get(stream)
        if refused_id is None:
            refused_by_stream[stream] = handler.attempt_id
            await stream.write(_refusal(handler.attempt_id))
        else:
            ran_ids.append(handler.attempt_id)
            await stream.write(_refusal(refused_id if is_named else None))
        # The connection is kept, and further requests on it are read.
        handler.request.connection.finish()  # type: ignore[union-attr]

    _override_all(deployment, handle)
    code_by_id: dict[str, int] = {}
    for number in range(MAX_REQUESTS):
        attempt_id = f"a-{number}"
        response = await deployment.async_send_request("stream", attempt_id)
        code_by_id[attempt_id] = response.code
        if ran_ids:
            break
        await asyncio.sleep(AVOIDED_S)
    assert len(ran_ids) == 1
    assert code_by_id[ran_ids[0]] not in NOT_RUN_STATUSES


@pytest.mark.parametrize("status", [204, 206, 400, 500, 503])
@pytest.mark.parametrize("max_attempts", [2, 3])
async def test_error_after_a_begun_stream_is_not_part_of_it(
    deployment: Deployment, status: int, max_attempts: int
) -> None:
    """A stream that broke off and meets an error elsewhere ends incomplete, without its text."""
    await async_start_engines(deployment, **_routes(**{"max-attempts": max_attempts}))
    sends: list[str] = []

    async def handle(handler: WorkHandler) -> None:
        sends.append(handler.endpoint.endpoint_id)
        handler.set_header(HEADER_SIGNATURE, "stamp")
        if len(sends) == 1:
            await handler.send_events(2)
            await asyncio.sleep(BREAK_OFF_S)
            _raw_stream(handler).close()
            return
        handler.set_status(status)
        handler.finish(None if status == 204 else ERROR_TEXT + b"\n\n")

    _override_all(deployment, handle)
    body = await _async_incomplete_body(deployment)
    assert len(sends) > 1
    assert COMPLETE_STREAM.startswith(body)
    assert len(body) < len(COMPLETE_STREAM)


async def _async_incomplete_body(deployment: Deployment) -> bytes:
    """Send a stream request; return what arrived of its body, which must look incomplete."""
    chunks: list[bytes] = []
    client = AsyncHTTPClient(force_instance=True)
    try:
        await client.fetch(
            f"http://{ADDRESS}:{deployment.caller_port}/stream/x",
            method="POST",
            body=b"question",
            headers=make_caller_headers("stream", "a-1", deadline_ms=3_000),
            streaming_callback=chunks.append,
            raise_error=True,
        )
    except (HTTPClientError, HTTPStreamClosedError, OSError):
        return b"".join(chunks)
    finally:
        client.close()
    raise AssertionError(f"the stream looks complete: {b''.join(chunks)!r}")


def _cuts() -> list[Callable[[str], bytes]]:
    """Return heads that end in the middle, by attempt id."""

    def head(attempt_id: str) -> bytes:
        return (
            f"HTTP/1.1 200 OK\r\n{HEADER_ATTEMPT_ID}: {attempt_id}\r\n{HEADER_SIGNATURE}: stamp\r\n"
            "Content-Type: text/event-stream\r\nContent-Length: 20\r\n\r\n"
        ).encode()

    return [
        lambda attempt_id: head(attempt_id)[:10],
        lambda attempt_id: head(attempt_id)[:17],
        lambda attempt_id: head(attempt_id)[: head(attempt_id).index(b"Content-Length")],
        lambda attempt_id: head(attempt_id)[: head(attempt_id).index(b"20")],
        lambda attempt_id: head(attempt_id)[:-2],
        lambda attempt_id: head(attempt_id)[:-1],
    ]


@pytest.mark.parametrize("route", ["safe", "unsafe", "stream"])
@pytest.mark.parametrize("cut", _cuts(), ids=["status", "line", "field", "value", "end", "byte"])
async def test_head_cut_in_the_middle_is_no_answer(
    deployment: Deployment, route: str, cut: Callable[[str], bytes]
) -> None:
    """A caller gets no success if each endpoint stops within the head of its answer."""
    await async_start_engines(deployment, **_routes())
    for name in ("p-1", "p-2"):
        await deployment.async_add_endpoint(name, "plain")

    async def handle(handler: WorkHandler) -> None:
        stream = _raw_stream(handler)
        await stream.write(cut(handler.attempt_id))
        stream.close()

    _override_all(deployment, handle)
    response = await deployment.async_send_request(route, "a-1")
    assert response.code in (502, 504)


@pytest.mark.parametrize("cut", _cuts(), ids=["status", "line", "field", "value", "end", "byte"])
async def test_begun_stream_is_not_completed_by_a_head_cut_in_the_middle(
    deployment: Deployment, cut: Callable[[str], bytes]
) -> None:
    """A stream that is resumed at an endpoint which stops within its head ends incomplete."""
    await async_start_engines(deployment)
    sends: list[str] = []

    async def handle(handler: WorkHandler) -> None:
        sends.append(handler.endpoint.endpoint_id)
        if len(sends) == 1:
            handler.set_header(HEADER_SIGNATURE, "stamp")
            await handler.send_events(2)
            await asyncio.sleep(BREAK_OFF_S)
            _raw_stream(handler).close()
            return
        stream = _raw_stream(handler)
        await stream.write(cut(handler.attempt_id))
        stream.close()

    _override_all(deployment, handle)
    body = await _async_incomplete_body(deployment)
    assert len(sends) > 1
    assert COMPLETE_STREAM.startswith(body)
