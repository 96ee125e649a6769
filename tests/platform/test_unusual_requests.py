"""Every request that was read whole gets an answer or a refusal, whatever its headers are."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from platform_deployment import Deployment, async_start_engines

from lagoonwing_fakes.platform import make_document
from lagoonwing_fakes.platform.const import ADDRESS

ANSWER_TIMEOUT_S = 5.0
HOST = b"Host: h.example"
KEY = b"Authorization: Bearer key-1"
ATTEMPT = b"X-Lagoonwing-Attempt-Id: a-1"
TOKENS = b"X-Lagoonwing-Token-Count: 10,6"
DEADLINE = b"X-Lagoonwing-Deadline-Ms: "
HINT = b"X-Lagoonwing-Length-Hint: "
PROPER = (HOST, KEY, ATTEMPT)
STREAM = b"POST /stream/x HTTP/1.1"
SAFE = b"GET /safe/x HTTP/1.1"
UNUSUAL_DEADLINES = (b"nan", b"inf", b"-inf", b"1e999", b"-1", b"0", b"", b"x", b"\xb2", b"1_0")
UNUSUAL_HEADS = (
    (SAFE, (KEY, ATTEMPT)),
    (SAFE, (HOST, ATTEMPT)),
    (SAFE, (HOST, KEY)),
    (SAFE, (*PROPER, b"Authorization: Bearer \xff")),
    (SAFE, (HOST, ATTEMPT, b"Authorization: Bearer \xff")),
    (SAFE, (*PROPER, b"X-Own: \xff\xb2")),
    (SAFE, (HOST, KEY, b"X-Lagoonwing-Attempt-Id: \xff")),
    (b"GET /safe/\xff HTTP/1.1", PROPER),
    (b"GET /safe/%zz?%&=\xb2 HTTP/1.1", PROPER),
    (b"GET http://h.example/safe/x HTTP/1.1", PROPER),
    (b"OPTIONS * HTTP/1.1", PROPER),
    (b"GET /safe/x HTTP/1.0", PROPER),
    (b"DELETE /safe/x HTTP/1.1", PROPER),
    (STREAM, PROPER),
    (STREAM, (*PROPER, TOKENS, b"Last-Event-Id: \xff")),
)


async def _async_answer(deployment: Deployment, start_line: bytes, *headers: bytes) -> bytes:
    """Send a request as it stands and return the status line of the answer."""
    reader, writer = await asyncio.open_connection(ADDRESS, deployment.caller_port)
    lines = [start_line, *headers]
    if start_line.startswith(b"POST"):
        lines.append(b"Content-Length: 0")
    writer.write(b"\r\n".join(lines) + b"\r\n\r\n")
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await reader.readline()
    finally:
        writer.close()


@pytest.mark.parametrize(
    "hint",
    [b"\xb2", b"3\xb2", b"-1", b"", b"1.5", b"9" * 400, b"9" * 5_000],
    ids=["superscript", "3_superscript", "negative", "empty", "fraction", "400", "5000"],
)
async def test_stream_with_unusual_length_hint_is_answered(
    deployment: Deployment, hint: bytes
) -> None:
    """A hint that is no number is ignored."""
    await async_start_engines(deployment)
    answer = await _async_answer(deployment, STREAM, *PROPER, TOKENS, HINT + hint)
    assert answer.startswith(b"HTTP/1.1 ")


@pytest.mark.parametrize(
    "count",
    [b"\xb2,6", b"0,0", b"-5,-5", b"10,-6", b"10", b"1,2,3", b"9" * 300 + b",6", b"9" * 5_000],
    ids=["superscript", "zero", "negative", "negative_out", "one", "three", "300", "5000"],
)
async def test_stream_with_unusual_token_count_is_answered(
    deployment: Deployment, count: bytes
) -> None:
    """A size that can't be served is refused."""
    await async_start_engines(deployment)
    header = b"X-Lagoonwing-Token-Count: " + count
    answer = await _async_answer(deployment, STREAM, *PROPER, header)
    assert answer.startswith(b"HTTP/1.1 ")


@pytest.mark.parametrize("route", [b"safe", b"unsafe", b"stream"])
async def test_request_with_unusual_deadline_is_answered(
    deployment: Deployment, route: bytes
) -> None:
    """A deadline that is no number is ignored."""
    await async_start_engines(deployment, 2)
    await deployment.async_add_endpoint("p-1", "plain")
    start_line = b"POST /" + route + b"/x HTTP/1.1"
    for deadline in UNUSUAL_DEADLINES:
        answer = await _async_answer(deployment, start_line, *PROPER, TOKENS, DEADLINE + deadline)
        assert answer.startswith(b"HTTP/1.1 "), deadline


async def test_requests_with_unusual_heads_are_answered(deployment: Deployment) -> None:
    """They are served or refused."""
    await async_start_engines(deployment)
    await deployment.async_add_endpoint("p-1", "plain")
    for start_line, headers in UNUSUAL_HEADS:
        answer = await _async_answer(deployment, start_line, *headers)
        assert answer.startswith(b"HTTP/1."), (start_line, headers)


@pytest.mark.parametrize(
    ("start_line", "headers"),
    [
        (b"HEAD /safe/x HTTP/1.1", PROPER),
        (b"HEAD /other/x HTTP/1.1", PROPER),
        (b"HEAD /safe/x HTTP/1.1", (HOST, ATTEMPT)),
        (b"HEAD /stream/x HTTP/1.1", (*PROPER, TOKENS)),
    ],
    ids=["served", "unknown_route", "unknown_key", "no_path"],
)
async def test_request_for_the_head_alone_is_answered(
    deployment: Deployment, start_line: bytes, headers: tuple[bytes, ...]
) -> None:
    """It is served or refused without a body."""
    await deployment.async_set_document()
    await deployment.async_add_endpoint("p-1", "plain")
    answer = await _async_answer(deployment, start_line, *headers)
    assert answer.startswith(b"HTTP/1.1 ")


def _document_with_engine(**figures: Any) -> dict[str, Any]:
    """Return changes of a document: figures of the engine."""
    services = json.loads(make_document())["services"]
    services[1]["engine"].update(figures)
    return {"services": services}


@pytest.mark.parametrize(
    "figures",
    [
        {"slots": 0},
        {"layers": 0},
        {"read_per_s": 0},
        {"pipe-mbps": 0},
        {"kinds": []},
        {"usual": {"prompt": 0, "answer": 0}},
        {"usual": {"prompt": 1e300, "answer": 1e300}},
        {"stride": 0},
    ],
    ids=lambda figures: "-".join(figures),
)
async def test_stream_is_answered_whatever_the_figures_of_its_engine_are(
    deployment: Deployment, figures: dict[str, Any]
) -> None:
    """A new document with unusual figures is refused, or streams under it are answered."""
    await async_start_engines(deployment)
    body = make_document(2, **_document_with_engine(**figures))
    if (await deployment.async_put_document(body)).code == 200:
        await deployment.async_wait_until(
            lambda: getattr(deployment.gateway.follower.routes, "version", 0) == 2
        )
    for headers in ((*PROPER, TOKENS), PROPER):
        answer = await _async_answer(deployment, STREAM, *headers)
        assert answer.startswith(b"HTTP/1.1 ")


async def test_requests_are_answered_while_documents_change(deployment: Deployment) -> None:
    """Streams and calls whose route, key or service goes meanwhile are answered or refused."""
    await async_start_engines(deployment)
    await deployment.async_add_endpoint("p-1", "plain")
    streams = [
        asyncio.ensure_future(deployment.async_send_request("stream", f"a-{number}"))
        for number in range(8)
    ]
    for version in range(2, 12):
        document = json.loads(make_document(version))
        kept = document["routes"][: version % 3 + 1]
        changes = _document_with_engine(usual={"prompt": version, "answer": 6})
        await deployment.async_set_document(version, routes=kept, **changes)
        for route in ("safe", "unsafe", "stream"):
            pending = deployment.async_send_request(route, f"{route}-{version}")
            streams.append(asyncio.ensure_future(pending))
    codes = [response.code for response in await asyncio.gather(*streams)]
    assert set(codes) <= {200, 404, 503}
    assert codes[:8] == [200] * 8
