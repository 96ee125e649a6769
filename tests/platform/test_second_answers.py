"""Endpoints that answer twice, the second time late, on connections that are kept."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import pytest
from platform_deployment import Deployment

from lagoonwing_fakes.platform import heartbeat_path, make_document, make_heartbeat
from lagoonwing_fakes.platform.const import ADDRESS
from lagoonwing_http.const import MAX_STALE_BYTES, MAX_STALE_RESPONSES
from lagoonwing_platform.const import HEADER_ATTEMPT_ID, HEADER_SIGNATURE

Encoder = Callable[[str], bytes]


def _head(attempt_id: str, *lines: str) -> bytes:
    """Return the head of a signed success."""
    start = ["HTTP/1.1 200 OK", f"{HEADER_ATTEMPT_ID}: {attempt_id}", f"{HEADER_SIGNATURE}: s"]
    return "\r\n".join([*start, *lines, "", ""]).encode()


def _by_length(attempt_id: str) -> bytes:
    """Return an answer with a length."""
    return _head(attempt_id, "Content-Length: 4") + b"done"


def _by_chunks(attempt_id: str) -> bytes:
    """Return an answer in chunks."""
    return _head(attempt_id, "Transfer-Encoding: chunked") + b"4\r\ndone\r\n0\r\n\r\n"


def _unframed(attempt_id: str) -> bytes:
    """Return an answer that ends with its connection."""
    return _head(attempt_id) + b"done"


def _endless(attempt_id: str) -> bytes:
    """Return an answer with more bytes than are read past."""
    size = MAX_STALE_BYTES + 1
    return _head(attempt_id, f"Content-Length: {size}") + b"x" * size


@dataclass
class RawEndpoint:
    """An endpoint that may write answers of earlier requests before the one that is due.

    Attributes:
        encode_stale: Returns the bytes of an earlier answer.
        stale_answers: How often it comes before the next one.
        is_late_when_idle: Whether it also comes while no request waits.
        runs: Ids of the requests that it ran.
        connections: Number of connections with a request so far.
        runs_after_stale_answers: Ids of requests on connections that had carried such an answer.
        writers: Open connections.
    """

    encode_stale: Encoder = _by_length
    stale_answers: int = 0
    is_late_when_idle: bool = False
    runs: list[str] = field(default_factory=list)
    connections: int = 0
    runs_after_stale_answers: list[str] = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def async_serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        previous = ""
        is_stale = False
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = [line.lower().split(": ", 1) for line in head.split("\r\n") if ": " in line]
                attempt_id = dict(lines)[HEADER_ATTEMPT_ID.lower()]
                self.runs.append(attempt_id)
                self.connections += not previous
                if is_stale:
                    self.runs_after_stale_answers.append(attempt_id)
                if previous and self.stale_answers:
                    is_stale = True
                    writer.write(self.encode_stale(previous) * self.stale_answers)
                writer.write(_by_length(attempt_id))
                previous = attempt_id
                if self.is_late_when_idle:
                    await writer.drain()
                    await asyncio.sleep(0.05)
                    writer.write(self.encode_stale(previous))
        except (EOFError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Close all connections."""
        for writer in list(self.writers):
            writer.close()


@pytest.fixture
async def endpoint(deployment: Deployment) -> AsyncIterator[RawEndpoint]:
    """Announce the only endpoint of the plain service."""
    document = json.loads(make_document())
    document["routes"][0]["max-attempts"] = 1
    await deployment.async_set_document(routes=document["routes"])
    running = RawEndpoint()
    server = await asyncio.start_server(running.async_serve, ADDRESS, 0)
    port = server.sockets[0].getsockname()[1]
    body = make_heartbeat("plain", port, 1, None, None)
    path = heartbeat_path("raw-1")
    assert (await deployment.async_call(deployment.control_port, path, "POST", body)).code == 200
    await deployment.async_wait_until(lambda: "raw-1" in deployment.gateway.follower.endpoint_by_id)
    yield running
    server.close()
    running.stop()
    await server.wait_closed()


# Guards against an answer that an endpoint had made and that is dropped, since an older one stood
# where it was expected.
@pytest.mark.parametrize("encode_stale", [_by_length, _by_chunks])
@pytest.mark.parametrize("stale_answers", [1, 2, MAX_STALE_RESPONSES])
async def test_answer_behind_earlier_ones_is_delivered(
    deployment: Deployment, endpoint: RawEndpoint, encode_stale: Encoder, stale_answers: int
) -> None:
    """Answers of earlier requests are read past; each request gets its own answer, once."""
    endpoint.encode_stale, endpoint.stale_answers = encode_stale, stale_answers
    for number in range(4):
        response = await deployment.async_send_request("safe", f"a-{number}")
        assert (response.code, response.body) == (200, b"done")
        assert response.headers[HEADER_ATTEMPT_ID] == f"a-{number}"
    assert endpoint.runs == [f"a-{number}" for number in range(4)]
    assert endpoint.connections == 3
    assert endpoint.runs_after_stale_answers == []


# Guards against answers without end that hold a request until its deadline.
@pytest.mark.parametrize(
    ("encode_stale", "stale_answers"),
    [
        (_by_length, MAX_STALE_RESPONSES + 1),
        (_by_chunks, MAX_STALE_RESPONSES + 1),
        (_by_length, 1_000),
        (_endless, 1),
        (_unframed, 1),
    ],
)
async def test_reading_past_earlier_answers_is_bounded(
    deployment: Deployment, endpoint: RawEndpoint, encode_stale: Encoder, stale_answers: int
) -> None:
    """The request ends as one that may have run, and the next one uses a new connection."""
    endpoint.encode_stale, endpoint.stale_answers = encode_stale, stale_answers
    assert (await deployment.async_send_request("safe", "a-0")).code == 200
    assert (await deployment.async_send_request("safe", "a-1")).code == 502
    assert (await deployment.async_send_request("safe", "a-2")).code == 200
    assert endpoint.runs == ["a-0", "a-1", "a-2"]
    assert endpoint.connections == 2


# Guards against an answer on a connection that no request uses at the time.
@pytest.mark.parametrize("pause_s", [0.0, 0.049, 0.05, 0.2])
async def test_second_answer_without_a_request_reaches_no_caller(
    deployment: Deployment, endpoint: RawEndpoint, pause_s: float
) -> None:
    """Whether the next request is sent before, with or after it, callers get their own answers."""
    endpoint.is_late_when_idle = True
    for number in range(8):
        response = await deployment.async_send_request("safe", f"a-{number}")
        assert (response.code, response.body) == (200, b"done")
        assert response.headers[HEADER_ATTEMPT_ID] == f"a-{number}"
        await asyncio.sleep(pause_s)
    assert endpoint.runs == [f"a-{number}" for number in range(8)]
