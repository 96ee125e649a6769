"""Invalid input from callers and endpoints is refused with a result code and bounded memory."""

from __future__ import annotations

import asyncio
import hashlib
import json
from typing import Any

import msgspec
import pytest
from entry_client import chat, request_bytes
from entry_cluster import Cluster, Host
from entry_const import ADDRESS, ENDPOINT_KEY
from tornado.httpclient import AsyncHTTPClient, HTTPResponse
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from lagoonwing_core.models import EntityState
from lagoonwing_fakes import FakeKind

PATH = "/v1/chat/completions"


async def _async_host(cluster: Cluster, **options: Any) -> Host:
    """Start a host and one endpoint."""
    host = await cluster.async_add_host(**options)
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    return host


def _assert_refused(response: HTTPResponse, status: int, code: int) -> None:
    """Check a refusal and its result code."""
    assert response.code == status
    assert response.headers["X-Outcome"] == "not_run"
    assert response.headers["X-Result-Code"] == str(code)
    error = json.loads(response.body)["error"]
    assert error["code"] == code
    assert error["request_id"] == response.headers["X-Request-Id"]


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
async def test_malformed_bodies(cluster: Cluster, body: bytes) -> None:
    """Malformed completion bodies are refused, and the host keeps serving."""
    host = await _async_host(cluster)
    _assert_refused(await host.async_request(PATH, body), 400, 2000)
    assert (await host.async_chat("still here")).code == 200


async def test_unknown_names_keys_and_paths(cluster: Cluster) -> None:
    """Unknown models, services, paths and keys have distinct result codes."""
    host = await _async_host(cluster)
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


# Guards against keys that `lagoonctl` registers and no request is known by.
@pytest.mark.parametrize("encoding", ["utf-8", "latin-1"])
async def test_key_beyond_ascii_is_known(cluster: Cluster, encoding: str) -> None:
    """A key is found by the bytes that are sent, whichever of the two encodings a caller uses."""
    host = await _async_host(cluster)
    members = host.control.view.member_by_key_hash
    (member,) = members.values()
    members[hashlib.sha256("cl\u00e9-\u00fc".encode()).hexdigest()] = member
    request = request_bytes(PATH, json.dumps(chat("x")).encode(), key="KEY")
    raw = await host.async_send_raw(request.replace(b"KEY", "cl\u00e9-\u00fc".encode(encoding)))
    assert raw.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("value", ["0", "-1", "x", "1.5", "99999999999", "9" * 400, "١٢"])
async def test_invalid_deadlines(cluster: Cluster, value: str) -> None:
    """A deadline is a positive number of milliseconds within the limit."""
    host = await _async_host(cluster)
    body = json.dumps(chat("x")).encode()
    raw = await host.async_send_raw(request_bytes(PATH, body, f"X-Deadline-Ms: {value}"))
    assert raw.startswith(b"HTTP/1.1 400")
    assert b"X-Result-Code: 2005" in raw


async def test_invalid_idempotency_keys(cluster: Cluster) -> None:
    """An idempotency key that is too long is refused."""
    host = await cluster.async_add_host()
    await cluster.async_add_service("v1")
    headers = {"Idempotency-Key": "k" * 300}
    _assert_refused(
        await host.async_request("/services/names/reserve", {}, headers=headers), 400, 2008
    )
    assert not cluster.endpoint_log("effect")


async def test_oversize_bodies(cluster: Cluster) -> None:
    """A body over the limit is discarded and refused, with and without a Content-Length."""
    host = await _async_host(cluster, max_body_bytes=10_000)
    _assert_refused(await host.async_request(PATH, b"x" * 200_000), 413, 2001)
    chunk = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
    head = request_bytes(PATH, b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    raw = await host.async_send_raw(head + chunk * 20 + b"0\r\n\r\n")
    assert raw.startswith(b"HTTP/1.1 413")
    assert b"X-Result-Code: 2001" in raw
    assert (await host.async_chat("still here")).code == 200


async def test_slow_bodies(cluster: Cluster) -> None:
    """A body that does not arrive is refused after the body timeout."""
    host = await _async_host(cluster, body_timeout_s=0.2)
    head = request_bytes(PATH, b"").replace(b"Content-Length: 0", b"Content-Length: 50")
    raw = await host.async_send_raw(head + b"{")
    assert raw.startswith(b"HTTP/1.1 400")
    assert b"X-Result-Code: 2000" in raw


async def test_large_headers(cluster: Cluster) -> None:
    """Headers over the limit are refused; over the read limit, the connection is closed."""
    host = await _async_host(cluster)
    raw = await host.async_send_raw(request_bytes(PATH, b"{}", "X-Long: " + "x" * 20_000))
    assert raw.startswith(b"HTTP/1.1 400")
    assert b"X-Result-Code: 2008" in raw
    assert await host.async_send_raw(request_bytes(PATH, b"{}", "X-Long: " + "x" * 200_000)) == b""
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
async def test_invalid_http_on_the_caller_port(cluster: Cluster, garbage: bytes) -> None:
    """Input that is not valid HTTP closes only its own connection."""
    host = await _async_host(cluster)
    raw = await host.async_send_raw(garbage)
    assert raw == b"" or raw.startswith(b"HTTP/1.1 4")
    assert (await host.async_chat("still here")).code == 200


async def test_connections_over_the_limit_are_closed(cluster: Cluster) -> None:
    """Connections over the limit are closed, which bounds the memory of idle connections."""
    host = await _async_host(cluster, max_connections=5)
    streams = [await TCPClient().connect(ADDRESS, host.caller_port) for _ in range(5)]
    await asyncio.sleep(0.05)
    extra = await TCPClient().connect(ADDRESS, host.caller_port)
    with pytest.raises(StreamClosedError):
        await extra.read_bytes(1)
    for stream in streams:
        stream.close()


async def test_requests_over_the_limit_are_refused(cluster: Cluster) -> None:
    """Requests over the limit of open requests are refused."""
    host = await _async_host(cluster, max_open_requests=0)
    response = await host.async_chat("x")
    _assert_refused(response, 429, 3001)
    assert int(response.headers["Retry-After"]) >= 1


async def test_unsupported_methods_are_refused(cluster: Cluster) -> None:
    """Unsupported methods are refused with an outcome."""
    host = await _async_host(cluster)
    response = await host.async_request(PATH, None, "GET")
    assert response.code == 405
    assert response.headers["X-Outcome"] == "not_run"


async def _async_announce(host: Host, body: bytes, key: str = ENDPOINT_KEY) -> HTTPResponse:
    """Send an announcement."""
    return await AsyncHTTPClient().fetch(
        f"http://{host.announce_address}/announce",
        method="POST",
        body=body,
        headers={"Authorization": f"Bearer {key}"},
        raise_error=False,
    )


async def test_invalid_announcements_are_refused(cluster: Cluster) -> None:
    """Unknown keys, malformed bodies and invalid records are refused with a result code."""
    host = await cluster.async_add_host()
    fake = await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    valid_record = {**fake.announcement_record(), "sequence": 50}
    _assert_refused(
        await _async_announce(host, json.dumps(valid_record).encode(), "wrong"), 401, 2002
    )
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
        response = await _async_announce(host, json.dumps({**valid_record, **change}).encode())
        _assert_refused(response, 400, 2000)
    for garbage in (b"", b"{", b"[" * 50_000, b"\xff"):
        _assert_refused(await _async_announce(host, garbage), 400, 2000)
    accepted = await _async_announce(host, json.dumps(valid_record).encode())
    assert accepted.code == 200
    assert json.loads(accepted.body)["renew_after_s"] == 0.2


async def test_leaving_endpoint_gets_no_new_requests(cluster: Cluster) -> None:
    """After a leave and the next refresh, the endpoint receives no new requests."""
    host = await cluster.async_add_host(default_deadline_s=0.5)
    fake = await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    await cluster.async_announce(fake, "leaving")
    response = await host.async_chat("x")
    assert response.headers["X-Outcome"] == "not_run"
    assert not cluster.endpoint_log()
