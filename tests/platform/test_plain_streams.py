"""Streams of services without an engine: they run once, are resumed and arrive event by event."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from platform_deployment import Deployment
from tornado.httpclient import HTTPResponse

from lagoonwing_fakes.platform import WorkHandler, make_caller_headers, make_document
from lagoonwing_fakes.platform.const import ADDRESS, EVENTS
from lagoonwing_platform.const import HEADER_LAST_EVENT, HEADER_SIGNATURE

PLAIN_ENDPOINTS = 3
OBJECTIVE_MS = 200
EVENT_INTERVAL_S = 0.03
# Longer than the objective; each endpoint takes it before its first event.
SLOW_FIRST_EVENT_S = 0.5


def _events(first: int, last: int) -> bytes:
    """Return the events of a stream from one number to another."""
    return b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(first, last + 1))


async def _async_start(deployment: Deployment, **changes: Any) -> None:
    """Lead the stream route to a service without an engine and start its endpoints."""
    document = json.loads(make_document())
    route = document["routes"][2]
    route.update({"service": "plain", "slo-ms": OBJECTIVE_MS, **changes})
    await deployment.async_set_document(routes=document["routes"])
    for number in range(PLAIN_ENDPOINTS):
        await deployment.async_add_endpoint(f"p-{number}", "plain")


def _override_all(deployment: Deployment, handle: Any) -> None:
    """Handle the requests to all endpoints with one function."""
    for endpoint in deployment.endpoints:
        endpoint.handler_override = handle


def _break_off(handler: WorkHandler) -> None:
    """Close the connection of a request that was executed."""
    connection: Any = handler.request.connection
    connection.stream.close()
    handler._finished = True


async def _async_begin(handler: WorkHandler) -> None:
    """Execute a request and send its head."""
    handler.endpoint.executed_ids.append(handler.attempt_id)
    handler.set_header(HEADER_SIGNATURE, f"stamp-{handler.endpoint.endpoint_id}")


def _runs(deployment: Deployment) -> int:
    """Return how often endpoints have executed a request."""
    return sum(len(endpoint.executed_ids) for endpoint in deployment.endpoints)


async def _async_send(deployment: Deployment, **headers: str) -> HTTPResponse:
    """Send a stream request."""
    return await deployment.async_send_request("stream", "a-1", **headers)


async def _async_raw_answer(deployment: Deployment) -> bytes:
    """Send a stream request and return the bytes up to the end of the connection."""
    reader, writer = await asyncio.open_connection(ADDRESS, deployment.caller_port)
    headers = make_caller_headers("stream", "a-1", deadline_ms=3_000)
    lines = ["POST /stream/x HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    writer.write("\r\n".join([*lines, "Connection: close", "Content-Length: 0", "", ""]).encode())
    try:
        async with asyncio.timeout(5.0):
            return await reader.read()
    finally:
        writer.close()


# Guards against a stream that must not be repeated and yet runs again once its answer is lost.
@pytest.mark.parametrize("sent_events", [0, 2])
async def test_stream_that_cannot_be_resumed_runs_once(
    deployment: Deployment, sent_events: int
) -> None:
    """A lost answer is reported as unknown, or the stream ends visibly incomplete."""
    await _async_start(deployment, resumable=False)

    async def lose_answer(handler: WorkHandler) -> None:
        await _async_begin(handler)
        if sent_events:
            await handler.send_events(sent_events)
            await asyncio.sleep(EVENT_INTERVAL_S)
        _break_off(handler)

    _override_all(deployment, lose_answer)
    answer = await _async_raw_answer(deployment)
    assert _runs(deployment) == 1
    assert answer.startswith(b"HTTP/1.1 200" if sent_events else b"HTTP/1.1 502")
    if sent_events:
        assert not answer.endswith(b"0\r\n\r\n")


# Guards against a second run of a stream whose first event only takes longer than its objective.
async def test_slow_stream_that_cannot_be_resumed_runs_once(deployment: Deployment) -> None:
    """A stream is waited for beyond its objective."""
    await _async_start(deployment, resumable=False)

    async def answer_slowly(handler: WorkHandler) -> None:
        await asyncio.sleep(SLOW_FIRST_EVENT_S)

    _override_all(deployment, answer_slowly)
    response = await _async_send(deployment)
    assert (response.code, response.body) == (200, _events(1, EVENTS))
    assert _runs(deployment) == 1


# Guards against a stream that begins anew when a caller resumes it.
async def test_caller_resumes_a_stream_after_its_last_event(deployment: Deployment) -> None:
    """The id of the last event reaches the endpoint, and only later events come back."""
    await _async_start(deployment, resumable=True)
    response = await _async_send(deployment, Last_Event_Id="3")
    assert (response.code, response.body) == (200, _events(4, EVENTS))
    (headers,) = [
        endpoint.headers_by_attempt_id["a-1"]
        for endpoint in deployment.endpoints
        if "a-1" in endpoint.headers_by_attempt_id
    ]
    assert headers[HEADER_LAST_EVENT] == "3"


# Guards against events that come twice, or are missing, where the gateway resumes a stream itself.
async def test_gateway_resumes_a_broken_stream(deployment: Deployment) -> None:
    """Another endpoint goes on within the same response, which keeps its first signature."""
    await _async_start(deployment, resumable=True)
    broken: list[str] = []

    async def break_first(handler: WorkHandler) -> None:
        if broken:
            return
        broken.append(handler.endpoint.endpoint_id)
        await _async_begin(handler)
        await handler.send_events(2)
        await asyncio.sleep(EVENT_INTERVAL_S)
        _break_off(handler)

    _override_all(deployment, break_first)
    response = await _async_send(deployment)
    assert (response.code, response.body) == (200, _events(1, EVENTS))
    assert response.headers[HEADER_SIGNATURE] == f"stamp-{broken[0]}"


# Guards against a stream that is held back until its last event.
async def test_events_arrive_one_by_one(deployment: Deployment) -> None:
    """The first event reaches the caller while the endpoint still writes."""
    await _async_start(deployment, resumable=True)
    may_end = asyncio.Event()

    async def pause_after_first(handler: WorkHandler) -> None:
        await _async_begin(handler)
        await handler.send_events(1)
        await may_end.wait()
        for number in range(2, EVENTS + 1):
            handler.write(f"id: {number}\ndata: token {number}\n\n")
        handler.finish()

    _override_all(deployment, pause_after_first)
    reader, writer = await asyncio.open_connection(ADDRESS, deployment.caller_port)
    headers = make_caller_headers("stream", "a-1", deadline_ms=3_000)
    lines = ["POST /stream/x HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    writer.write("\r\n".join([*lines, "Content-Length: 0", "", ""]).encode())
    async with asyncio.timeout(1.0):
        await reader.readuntil(b"data: token 1\n\n")
    may_end.set()
    async with asyncio.timeout(1.0):
        await reader.readuntil(b"0\r\n\r\n")
    writer.close()


# Guards against a header of the caller that is lost on calls.
@pytest.mark.parametrize("route", ["safe", "unsafe"])
async def test_last_event_id_of_a_call_is_forwarded(deployment: Deployment, route: str) -> None:
    """Headers that the gateway doesn't set itself reach the endpoint."""
    await _async_start(deployment)
    response = await deployment.async_send_request(route, "a-1", Last_Event_Id="7")
    assert response.code == 200
    (headers,) = [
        endpoint.headers_by_attempt_id["a-1"]
        for endpoint in deployment.endpoints
        if "a-1" in endpoint.headers_by_attempt_id
    ]
    assert headers[HEADER_LAST_EVENT] == "7"


# Guards against a service whose engine names no layers, as each endpoint holds the whole model.
async def test_stream_of_an_engine_without_layers_is_served(deployment: Deployment) -> None:
    """Such an endpoint needs no path over others."""
    services = json.loads(make_document())["services"]
    services[1]["engine"]["layers"] = 0
    await deployment.async_set_document(services=services)
    await deployment.async_add_endpoint("e-1", "engines", "small")
    response = await _async_send(deployment)
    assert (response.code, response.body) == (200, _events(1, EVENTS))


async def test_streams_and_calls_share_the_load_of_an_endpoint(deployment: Deployment) -> None:
    """Both count where they run at one endpoint."""
    await _async_start(deployment)
    may_end = asyncio.Event()

    async def wait(handler: WorkHandler) -> None:
        await may_end.wait()

    _override_all(deployment, wait)
    running = [
        asyncio.ensure_future(deployment.async_send_request(route, f"a-{number}"))
        for number, route in enumerate(["stream", "unsafe"] * PLAIN_ENDPOINTS)
    ]
    await deployment.async_wait_until(
        lambda: sum(len(endpoint.arrived_at) for endpoint in deployment.endpoints) == len(running)
    )
    loads = deployment.gateway._load_tracker.local_loads().values()
    assert sum(load.sequences for load in loads) == len(running)
    may_end.set()
    assert [response.code for response in await asyncio.gather(*running)] == [200] * len(running)
