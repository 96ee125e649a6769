"""Answers of endpoints whose status belongs to no class reach no caller (MIXED)."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from platform_deployment import Deployment

from lagoonwing_fakes.platform import heartbeat_path, make_heartbeat
from lagoonwing_fakes.platform.const import ADDRESS
from lagoonwing_platform.const import HEADER_ATTEMPT_ID, HEADER_SIGNATURE

ODD_BODY = b"odd body"
REQUESTS = 6
_numbers = itertools.count()


@asynccontextmanager
async def _async_serve_odd(status: str) -> AsyncIterator[int]:
    """Answer each request with one status; yield the port."""

    async def async_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except asyncio.IncompleteReadError:
            writer.close()
            return
        lines = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        attempt_id = lines.get(HEADER_ATTEMPT_ID, "")
        writer.write(
            f"HTTP/1.1 {status} Odd\r\n{HEADER_ATTEMPT_ID}: {attempt_id}\r\n"
            f"{HEADER_SIGNATURE}: stamp\r\nContent-Length: {len(ODD_BODY)}\r\n\r\n".encode()
            + ODD_BODY
        )
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(async_answer, ADDRESS, 0)
    async with server:
        yield server.sockets[0].getsockname()[1]


@pytest.mark.parametrize("status", ["000", "001", "099", "101", "600", "999"])
@pytest.mark.parametrize("route", ["safe", "unsafe"])
async def test_answer_without_a_class_reaches_no_caller(
    deployment: Deployment, status: str, route: str
) -> None:
    """The caller is told that its request may have run, and gets no byte of the answer."""
    await deployment.async_set_document()
    async with _async_serve_odd(status) as port:
        body = make_heartbeat("plain", port, 1, None, None)
        path = heartbeat_path("odd")
        answer = await deployment.async_call(deployment.control_port, path, "POST", body)
        assert answer.code == 200
        await deployment.async_wait_until(
            lambda: "odd" in deployment.gateway.follower.endpoint_by_id
        )
        for _ in range(REQUESTS):
            response = await deployment.async_send_request(route, f"odd-{next(_numbers)}")
            assert response.code in (502, 503)
            assert ODD_BODY not in response.body
            assert HEADER_SIGNATURE not in response.headers
