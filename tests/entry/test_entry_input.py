"""Bad input from callers and endpoints: numbered refusals, bounded memory, service goes on."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import msgspec
import pytest
from entry_cell import ADDRESS, ENDPOINT_KEY, Cell, Host, chat, request_bytes
from tornado.httpclient import AsyncHTTPClient, HTTPResponse
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from lagoonwing_core.models import EntityState
from lagoonwing_fakes import FakeKind

PATH = "/v1/chat/completions"


async def _async_host(cell: Cell, **options: Any) -> Host:
    """Start a host with one endpoint."""
    host = await cell.async_add_host(**options)
    await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    return host


def _assert_refused(answer: HTTPResponse, status: int, code: int) -> None:
    """Check a numbered refusal."""
    assert answer.code == status
    assert answer.headers["X-Outcome"] == "not_run"
    assert answer.headers["X-Result-Code"] == str(code)
    error = json.loads(answer.body)["error"]
    assert error["code"] == code
    assert error["request_id"] == answer.headers["X-Request-Id"]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"null",
        b"[]",
        b'{"model": 1, "messages": []}',
        b'{"model": "m1"}',
        b'{"model": "m1", "messages": []}',
        b'{"model": "m1", "messages": [{"role": "user", "content": 5}]}',
        b'{"model": "m1", "messages": [{"role": "user", "content": "x"}], "max_tokens": 0}',
        b'{"model": "m1", "messages": [{"role": "user", "content": "x"}], "n": 2}',
        b'{"model": "m1", "messages": ' + b"[" * 100_000,
        b'{"model": "\xff\xfe"}',
    ],
)
async def test_malformed_bodies(cell: Cell, body: bytes) -> None:
    """What is no completion is refused, and the host goes on."""
    host = await _async_host(cell)
    _assert_refused(await host.async_request(PATH, body), 400, 2000)
    assert (await host.async_chat("still here")).code == 200


async def test_unknown_names_keys_and_paths(cell: Cell) -> None:
    """Each has its own number."""
    host = await _async_host(cell)
    unknown = await host.async_request(PATH, chat("x") | {"model": "m9"})
    _assert_refused(unknown, 404, 2003)
    _assert_refused(await host.async_request("/services/none/x", {}), 404, 2004)
    _assert_refused(await host.async_request("/v2/none", {}), 404, 2009)
    _assert_refused(await host.async_request(PATH, chat("x"), key="wrong"), 401, 2002)
    _assert_refused(await host.async_request(PATH, chat("x"), key="k" * 5000), 401, 2002)
    members = host.control.view.member_by_key_hash
    for key_hash, member in members.items():
        members[key_hash] = msgspec.structs.replace(member, state=EntityState.RETIRED)
    _assert_refused(await host.async_request(PATH, chat("x")), 403, 2007)


@pytest.mark.parametrize("value", ["0", "-1", "x", "1.5", "99999999999", "9" * 400, "١٢"])
async def test_bad_deadlines(cell: Cell, value: str) -> None:
    """A deadline is a positive number of milliseconds within the limit."""
    host = await _async_host(cell)
    body = json.dumps(chat("x")).encode()
    raw = await host.async_raw(request_bytes(PATH, body, f"X-Deadline-Ms: {value}"))
    assert raw.startswith(b"HTTP/1.1 400")
    assert b"X-Result-Code: 2005" in raw


async def test_bad_idempotency_keys(cell: Cell) -> None:
    """Keys are short and printable."""
    host = await cell.async_add_host()
    await cell.async_add_service("v1")
    headers = {"Idempotency-Key": "k" * 300}
    _assert_refused(
        await host.async_request("/services/names/reserve", {}, headers=headers), 400, 2008
    )
    assert not cell.truth("effect")


async def test_oversize_bodies(cell: Cell) -> None:
    """With and without a length, a body past the limit is dropped and refused."""
    host = await _async_host(cell, max_body_bytes=10_000)
    _assert_refused(await host.async_request(PATH, b"x" * 200_000), 413, 2001)
    chunk = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
    head = request_bytes(PATH, b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    raw = await host.async_raw(head + chunk * 20 + b"0\r\n\r\n")
    assert raw.startswith(b"HTTP/1.1 413")
    assert b"X-Result-Code: 2001" in raw
    assert (await host.async_chat("still here")).code == 200


async def test_slow_bodies(cell: Cell) -> None:
    """A body that does not come is refused after its time."""
    host = await _async_host(cell, body_timeout_s=0.2)
    head = request_bytes(PATH, b"").replace(b"Content-Length: 0", b"Content-Length: 50")
    raw = await host.async_raw(head + b"{")
    assert raw.startswith(b"HTTP/1.1 400")
    assert b"X-Result-Code: 2000" in raw


async def test_large_headers(cell: Cell) -> None:
    """Large headers are refused; larger ones end the connection."""
    host = await _async_host(cell)
    raw = await host.async_raw(request_bytes(PATH, b"{}", "X-Long: " + "x" * 20_000))
    assert raw.startswith(b"HTTP/1.1 400")
    assert b"X-Result-Code: 2008" in raw
    assert await host.async_raw(request_bytes(PATH, b"{}", "X-Long: " + "x" * 200_000)) == b""
    assert (await host.async_chat("still here")).code == 200


@pytest.mark.parametrize(
    "garbage",
    [
        b"\x00\x01\x02\x03" * 100 + b"\r\n\r\n",
        b"POST / HTTP/9\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 2\r\n\r\n",
    ],
)
async def test_garbage_on_the_callers_port(cell: Cell, garbage: bytes) -> None:
    """What is no HTTP ends its connection and nothing else."""
    host = await _async_host(cell)
    raw = await host.async_raw(garbage)
    assert raw == b"" or raw.startswith(b"HTTP/1.1 4")
    assert (await host.async_chat("still here")).code == 200


async def test_connections_past_the_limit_are_closed(cell: Cell) -> None:
    """Idle connections take bounded memory."""
    host = await _async_host(cell, max_connections=5)
    streams = [await TCPClient().connect(ADDRESS, host.caller_port) for _ in range(5)]
    await asyncio.sleep(0.05)
    extra = await TCPClient().connect(ADDRESS, host.caller_port)
    with pytest.raises(StreamClosedError):
        await extra.read_bytes(1)
    for stream in streams:
        stream.close()


async def test_requests_past_the_limit_are_refused(cell: Cell) -> None:
    """Open requests are bounded."""
    host = await _async_host(cell, max_open_requests=0)
    answer = await host.async_chat("x")
    _assert_refused(answer, 429, 3001)
    assert int(answer.headers["Retry-After"]) >= 1


async def test_methods_that_are_not_served(cell: Cell) -> None:
    """They are refused with a number too."""
    host = await _async_host(cell)
    answer = await host.async_request(PATH, None, "GET")
    assert answer.code == 405
    assert answer.headers["X-Outcome"] == "not_run"


async def _async_announce(host: Host, body: bytes, key: str = ENDPOINT_KEY) -> HTTPResponse:
    """Announce."""
    return await AsyncHTTPClient().fetch(
        f"http://{host.announce_address}/announce",
        method="POST",
        body=body,
        headers={"Authorization": f"Bearer {key}"},
        raise_error=False,
    )


async def test_announcements_are_checked(cell: Cell) -> None:
    """Strangers, garbage and unsound records are refused with a number."""
    host = await cell.async_add_host()
    fake = await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    sound = {**fake.record(), "sequence": 50}
    _assert_refused(await _async_announce(host, json.dumps(sound).encode(), "wrong"), 401, 2002)
    _assert_refused(await _async_announce(host, b"x" * 100_000), 413, 2001)
    changes: list[dict[str, Any]] = [
        {"address": "not-a-number"},
        {"port": 0},
        {"port": 70_000},
        {"models": []},
        {"models": ["m"] * 1000},
        {"slots": 0},
        {"endpoint_id": ""},
        {"endpoint_id": "x" * 1000},
        {"kind": "stage"},
        {"kind": "stage", "layers": {"first": 5, "end": 2}, "layer_count": 9},
        {"kind": "service"},
        {"kind": "other"},
        {"incarnation": "soon"},
    ]
    for change in changes:
        answer = await _async_announce(host, json.dumps({**sound, **change}).encode())
        _assert_refused(answer, 400, 2000)
    for garbage in (b"", b"{", b"[" * 50_000, b"\xff"):
        _assert_refused(await _async_announce(host, garbage), 400, 2000)
    taken = await _async_announce(host, json.dumps(sound).encode())
    assert taken.code == 200
    assert json.loads(taken.body)["renew_after_s"] == 0.2


async def test_an_endpoint_that_leaves_gets_no_new_work(cell: Cell) -> None:
    """A leave is in force with the next refresh; the rest of the request path knows it."""
    host = await cell.async_add_host(default_deadline_s=0.5)
    fake = await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    await cell.async_announce(fake, "leaving")
    answer = await host.async_chat("x")
    assert answer.headers["X-Outcome"] == "not_run"
    assert not cell.truth()
