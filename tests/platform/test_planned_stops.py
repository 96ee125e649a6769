"""A planned stop of a gateway: what it takes is answered whole, the rest is refused truthfully."""

from __future__ import annotations

import asyncio
import json
import random
import socket
from collections import Counter
from pathlib import Path

from platform_deployment import Deployment, async_run_deployment

from lagoonwing_fakes.platform import WorkHandler, make_caller_headers, make_document
from lagoonwing_fakes.platform.const import ADDRESS
from lagoonwing_gateway.models import CallerRequest
from lagoonwing_gateway.ports import Responder
from lagoonwing_platform.const import HEADER_SIGNATURE

GRACE_S = 8.0
REQUEST_INTERVAL_S = 0.06
# Time that endpoints take for a request, up to most of the longest deadline.
MAX_WORK_S = 2.5
DEADLINES_MS = (400, 1_500, 4_000, 20_000)
LARGE_BODY = bytes(8 * 1024 * 1024)
READ_BYTES = 32 * 1024
READ_INTERVAL_S = 0.02
SERVED_STATUS = b"200"
REFUSED_STATUSES = (b"503", b"504")


async def _async_start(deployment: Deployment, **route_changes: object) -> None:
    """Start three plain endpoints; their routes wait for up to 20 s."""
    routes = json.loads(make_document())["routes"]
    for route in routes:
        route.update({"timeout-ms": 20_000, "service": "plain", **route_changes})
    await deployment.async_set_document(routes=routes)
    for number in range(3):
        await deployment.async_add_endpoint(f"p-{number}", "plain")


async def _async_answer_at_length(handler: WorkHandler) -> None:
    """Answer with more than the buffers of a connection take."""
    handler.set_header(HEADER_SIGNATURE, "stamp-large")
    handler.finish(LARGE_BODY)


async def _async_stop(deployment: Deployment) -> float:
    """Stop the gateway as its process does; return how long that took."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    await deployment.gateway.async_drain()
    await deployment.front.async_unload()
    return loop.time() - started_at


def _record_reads(deployment: Deployment) -> set[str]:
    """Record the ids of the requests that the gateway has read; return where they are kept."""
    read_ids: set[str] = set()
    gateway = deployment.gateway
    async_serve = gateway.async_serve

    async def async_record(request: CallerRequest, responder: Responder) -> None:
        read_ids.add(str(request.attempt_id))
        await async_serve(request, responder)

    gateway.async_serve = async_record  # type: ignore[method-assign]
    return read_ids


def _encode_request(route: str, attempt_id: str, deadline_ms: int) -> bytes:
    """Return the bytes of a request."""
    headers = make_caller_headers(route, attempt_id, deadline_ms)
    lines = [f"GET /{route}/x HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode()


async def _async_outcome(deployment: Deployment, request: bytes) -> bytes:
    """Send a request on a new connection; return its status, or what happened instead."""
    try:
        reader, writer = await asyncio.open_connection(ADDRESS, deployment.caller_port)
    except ConnectionError:
        return b"no connection"
    try:
        writer.write(request)
        await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        status = head.split()[1]
        if b"chunked" in head:
            await reader.readuntil(b"0\r\n\r\n")
        else:
            length = int(head.lower().split(b"content-length:")[1].split()[0])
            await reader.readexactly(length)
    except (EOFError, ConnectionError):
        return b"cut"
    finally:
        writer.close()
    return status


# Guards against requests that come late in the grace, are passed on, and are cut at its end.
async def test_requests_through_the_whole_grace_are_answered_or_refused(tmp_path: Path) -> None:
    """Each request that is read gets an answer, whenever it came and whatever its deadline."""
    rng = random.Random(1)
    async with async_run_deployment(tmp_path / "log", drain_grace_s=GRACE_S) as deployment:
        await _async_start(deployment)

        async def work(handler: WorkHandler) -> None:
            await asyncio.sleep(rng.uniform(0.0, MAX_WORK_S))

        for endpoint in deployment.endpoints:
            endpoint.handler_override = work
        read_ids = _record_reads(deployment)
        stop = asyncio.ensure_future(_async_stop(deployment))
        sent: list[asyncio.Task[bytes]] = []
        while not stop.done():
            route = rng.choice(("safe", "unsafe", "stream"))
            request = _encode_request(route, f"a-{len(sent)}", rng.choice(DEADLINES_MS))
            sent.append(asyncio.ensure_future(_async_outcome(deployment, request)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        assert await stop <= GRACE_S
        answers = await asyncio.gather(*sent)
        passed_on = {
            attempt_id
            for endpoint in deployment.endpoints
            for attempt_id in endpoint.headers_by_attempt_id
        }
    cut = {f"a-{number}" for number, answer in enumerate(answers) if answer == b"cut"}
    # A request that crosses the last close is not answered; it may have been neither read nor run.
    assert not cut & (read_ids | passed_on)
    outcomes = Counter(answers)
    assert outcomes[SERVED_STATUS] > 0
    assert outcomes[b"503"] > 0
    assert set(outcomes) <= {SERVED_STATUS, *REFUSED_STATUSES, b"no connection", b"cut"}


# Guards against an answer that is cut while the caller still reads it.
async def test_answer_is_written_to_its_end_before_the_process_stops(tmp_path: Path) -> None:
    """The stop waits for a caller that reads slowly, within the grace."""
    async with async_run_deployment(tmp_path / "log", drain_grace_s=GRACE_S) as deployment:
        await _async_start(deployment)
        for endpoint in deployment.endpoints:
            endpoint.handler_override = _async_answer_at_length
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (ADDRESS, deployment.caller_port))
            stop = asyncio.ensure_future(_async_stop(deployment))
            await loop.sock_sendall(sock, _encode_request("safe", "a-1", 20_000))
            received = 0
            while chunk := await loop.sock_recv(sock, READ_BYTES):
                received += len(chunk)
                if received > len(LARGE_BODY):
                    break
                await asyncio.sleep(READ_INTERVAL_S)
        assert received > len(LARGE_BODY)
        assert await stop <= GRACE_S


async def test_caller_that_reads_nothing_holds_the_stop_only_within_the_grace(
    tmp_path: Path,
) -> None:
    """The process ends in time."""
    async with async_run_deployment(tmp_path / "log", drain_grace_s=4.0) as deployment:
        await _async_start(deployment)
        for endpoint in deployment.endpoints:
            endpoint.handler_override = _async_answer_at_length
        _, writer = await asyncio.open_connection(ADDRESS, deployment.caller_port, limit=1_024)
        writer.write(_encode_request("safe", "a-1", 20_000))
        await deployment.async_wait_until(
            lambda: any(endpoint.arrived_at for endpoint in deployment.endpoints)
        )
        assert await _async_stop(deployment) <= 4.0
        writer.close()
