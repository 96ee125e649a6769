"""Bursts of large request bodies stay within the memory that a gateway has for them."""

from __future__ import annotations

import asyncio
import json
import re
import tracemalloc

import pytest
from platform_deployment import Deployment

from lagoonwing_fakes.platform import (
    WorkHandler,
    heartbeat_path,
    make_caller_headers,
    make_document,
    make_heartbeat,
)
from lagoonwing_fakes.platform.const import ADDRESS
from lagoonwing_gateway.const import MAX_RESPONSE_BODY_BYTES, MAX_RESPONSES_BYTES
from lagoonwing_http import BodyBudget
from lagoonwing_platform.const import HEADER_ATTEMPT_ID, HEADER_SIGNATURE

BODY_BYTES = 256 * 1024
BUDGET_BODIES = 5
REQUESTS = 24
WORK_S = 0.3
# More than the buffers of a connection take.
LONG_ANSWER_BYTES = 12 * 1024 * 1024
FAILED_BODY = bytes(3 * 1024 * 1024)
SILENT_HEAD = (
    f"HTTP/1.1 200 OK\r\n{HEADER_ATTEMPT_ID}: ID\r\n{HEADER_SIGNATURE}: stamp\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
).encode()
ANSWER_IDS = ["none", "half a head", "silent"]


class CountingBudget(BodyBudget):
    """A budget that remembers how many bytes were held at most."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(max_bytes)
        self.held = 0
        self.max_held = 0

    def try_reserve(self, count: int) -> bool:
        """Reserve bytes; return whether enough were free."""
        if not super().try_reserve(count):
            return False
        self.held += count
        self.max_held = max(self.max_held, self.held)
        return True

    def release(self, count: int) -> None:
        """Release reserved bytes."""
        super().release(count)
        self.held -= count


@pytest.fixture
async def budget(deployment: Deployment) -> CountingBudget:
    """Start plain endpoints behind a gateway with a small budget."""
    await deployment.async_set_document()
    for number in range(3):
        endpoint = await deployment.async_add_endpoint(f"p-{number}", "plain")
        endpoint.handler_override = _async_work
    deployment.gateway.body_budget = CountingBudget(BUDGET_BODIES * BODY_BYTES)
    return deployment.gateway.body_budget


async def _async_work(handler: WorkHandler) -> None:
    """Take a while for a request."""
    await asyncio.sleep(WORK_S)


def _body(number: int) -> bytes:
    """Return a body of its own."""
    return f"{number:08d}".encode() * (BODY_BYTES // 8)


# Guards against a burst of allowed bodies that takes the process over its memory.
async def test_burst_of_bodies_stays_within_the_budget(
    deployment: Deployment, budget: CountingBudget
) -> None:
    """What doesn't fit is refused with a time to come back; the others run with their own body."""
    headers = [make_caller_headers("unsafe", f"a-{n}", 3_000) for n in range(REQUESTS)]
    answers = await asyncio.gather(
        *(
            deployment.async_call(
                deployment.caller_port, "/unsafe/x", "POST", _body(n), **headers[n]
            )
            for n in range(REQUESTS)
        )
    )
    served = [n for n in range(REQUESTS) if answers[n].code == 200]
    assert {answer.code for answer in answers} == {200, 503}
    assert len(served) >= BUDGET_BODIES - 1
    for number, answer in enumerate(answers):
        if answer.code == 200:
            assert answer.body == f"body of a-{number} ".encode() + _body(number)
        else:
            assert float(answer.headers["Retry-After"]) > 0
    runs = [run for endpoint in deployment.endpoints for run in endpoint.executed_ids]
    assert sorted(runs) == sorted(f"a-{number}" for number in served)
    assert budget.max_held <= BUDGET_BODIES * BODY_BYTES
    await deployment.async_wait_until(lambda: budget.held == 0)


async def test_bytes_of_a_body_that_never_arrives_whole_are_released(
    deployment: Deployment, budget: CountingBudget
) -> None:
    """A caller that leaves in the middle holds no memory."""
    _, writer = await asyncio.open_connection(ADDRESS, deployment.caller_port)
    headers = make_caller_headers("unsafe", "a-1", 3_000)
    lines = ["POST /unsafe/x HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    head = "\r\n".join([*lines, f"Content-Length: {BODY_BYTES}", "", ""]).encode()
    writer.write(head + bytes(BODY_BYTES // 2))
    await deployment.async_wait_until(lambda: budget.held >= BODY_BYTES // 2)
    writer.close()
    await deployment.async_wait_until(lambda: budget.held == 0)


# Guards against callers that send bodies, read no answer, and so use up the budget for good.
async def test_caller_that_reads_no_answer_holds_no_bytes_of_its_body(
    deployment: Deployment, budget: CountingBudget
) -> None:
    """The bytes are released when the request has been answered, not when the answer was read."""

    async def answer_at_length(handler: WorkHandler) -> None:
        handler.set_header(HEADER_SIGNATURE, "stamp-long")
        handler.finish(bytes(LONG_ANSWER_BYTES))

    for endpoint in deployment.endpoints:
        endpoint.handler_override = answer_at_length
    _, writer = await asyncio.open_connection(ADDRESS, deployment.caller_port, limit=1_024)
    headers = make_caller_headers("unsafe", "a-1", 3_000)
    lines = ["POST /unsafe/x HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    head = "\r\n".join([*lines, f"Content-Length: {BODY_BYTES}", "", ""]).encode()
    writer.write(head + bytes(BODY_BYTES))
    await deployment.async_wait_until(lambda: budget.max_held == BODY_BYTES)
    await deployment.async_wait_until(lambda: budget.held == 0)
    assert deployment.gateway.active_requests == 1
    writer.close()
    await deployment.async_wait_until(lambda: deployment.gateway.active_requests == 0)


# Guards against callers that read nothing, and whose answers take all memory.
async def test_largest_answers_that_callers_do_not_take_are_broken_off(
    deployment: Deployment,
) -> None:
    """They end before their length is reached; smaller answers are delivered whole."""
    sizes = [MAX_RESPONSE_BODY_BYTES] * 4 + [MAX_RESPONSE_BODY_BYTES // 2] * 6

    async def answer_at_length(handler: WorkHandler) -> None:
        handler.set_header(HEADER_SIGNATURE, "stamp-long")
        handler.finish(bytes(sizes[int(handler.attempt_id)]))

    await deployment.async_set_document()
    endpoint = await deployment.async_add_endpoint("p-1", "plain")
    endpoint.handler_override = answer_at_length
    budget = deployment.gateway.response_budget
    callers = []
    for number in range(len(sizes)):
        callers.append(await _async_ask_without_reading(deployment, str(number)))
        await asyncio.sleep(WORK_S)
        assert budget.held_bytes <= MAX_RESPONSES_BYTES
    endpoint.handler_override = None
    assert (await deployment.async_send_request("safe", "sound")).code == 200
    answers = [await reader.read() for reader, _ in callers]
    for answer, size in zip(answers, sizes, strict=True):
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert f"Content-Length: {size}\r\n".encode() in answer
    bodies = [answer.partition(b"\r\n\r\n")[2] for answer in answers]
    whole = [len(body) == size for body, size in zip(bodies, sizes, strict=True)]
    assert not all(whole[:4])
    assert all(whole[4:])
    assert budget.held_bytes == 0
    for _, writer in callers:
        writer.close()


async def _async_ask_without_reading(
    deployment: Deployment, attempt_id: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request whose answer is read later."""
    reader, writer = await asyncio.open_connection(ADDRESS, deployment.caller_port, limit=1_024)
    headers = {**make_caller_headers("safe", attempt_id, 3_000), "Connection": "close"}
    lines = ["GET /safe/x HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    return reader, writer


# Guards against exceptions and their frames that keep bodies which the budget takes for released.
@pytest.mark.parametrize("route", ["unsafe", "stream"])
@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 200 OK\r\n", SILENT_HEAD], ids=ANSWER_IDS)
@pytest.mark.usefixtures("no_collection")
async def test_body_of_a_failed_request_is_released_when_it_ends(
    deployment: Deployment, route: str, answer: bytes
) -> None:
    """Whether its answer doesn't begin, breaks off in its head or falls silent."""

    async def answer_partly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(FAILED_BODY))
        attempt_id = re.search(rb"Attempt-Id: ([^\r]*)", head, re.IGNORECASE)
        assert attempt_id is not None
        writer.write(answer.replace(b"ID", attempt_id.group(1)))
        if answer.endswith(b"\r\n\r\n"):
            await reader.read()
        writer.close()

    routes = json.loads(make_document())["routes"]
    routes[2]["service"] = "plain"
    await deployment.async_set_document(routes=routes)
    server = await asyncio.start_server(answer_partly, ADDRESS, 0)
    heartbeat = make_heartbeat("plain", server.sockets[0].getsockname()[1], 1, None, None)
    await deployment.async_call(deployment.control_port, heartbeat_path("p-1"), "POST", heartbeat)
    await deployment.async_wait_until(lambda: bool(deployment.gateway.follower.endpoint_by_id))
    held_before = tracemalloc.get_traced_memory()[0]
    for number in range(2):
        headers = make_caller_headers(route, f"a-{number}", 400)
        response = await deployment.async_call(
            deployment.caller_port, f"/{route}/x", "POST", FAILED_BODY, **headers
        )
        assert response.code in (502, 504)
    held_bytes = tracemalloc.get_traced_memory()[0] - held_before
    server.close()
    assert held_bytes < len(FAILED_BODY) // 2
