"""Replies of engines to the registry that are joined with parts of other answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest
from cut_cases import describe
from expression import Result
from raw_answers import Answer, async_read_request

from lagoonwing_catalog.models import EndpointRecord, EndpointState, LayerRange
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import EndpointId, FailureDomainId, ServiceId, Term
from lagoonwing_fakes.platform.const import ADDRESS
from lagoonwing_platform.const import HEADER_ATTEMPT_ID
from lagoonwing_platform.engine_client import EngineClient
from lagoonwing_registry import OrderOutcome

CallResult = TypeVar("CallResult")

DUE_SEQUENCE = 7
SECOND_SEQUENCE = 9


def _reply(status: int, sequence: int) -> Answer:
    """Return an engine's reply."""
    return Answer(status, None, "engine", b'{"sequence":%d,"busy":false}' % sequence)


def _record(port: int) -> EndpointRecord:
    """Return an engine."""
    return EndpointRecord(
        endpoint_id=EndpointId("e"),
        service_id=ServiceId("s"),
        address=ADDRESS,
        port=port,
        failure_domain=FailureDomainId("d-1"),
        slots=1,
        state=EndpointState.READY,
        started_ms=1,
        sequence=1,
    )


async def _async_reply(
    content: bytes, async_call: Callable[[EndpointRecord], Awaitable[CallResult]]
) -> CallResult:
    """Answer one call with some content; return what the call returned."""

    async def async_serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await async_read_request(reader, HEADER_ATTEMPT_ID)
        writer.write(content)
        # The connection stays open until the caller ends it.
        await reader.read()
        writer.close()

    server = await asyncio.start_server(async_serve, ADDRESS, 0)
    try:
        return await async_call(_record(server.sockets[0].getsockname()[1]))
    finally:
        server.close()
        await server.wait_closed()


def _joined(due: Answer) -> dict[str, bytes]:
    """Return a due reply with each part of a second one in front of it or within it."""
    contents: dict[str, bytes] = {}
    for status in (200, 202):
        second = _reply(status, SECOND_SEQUENCE).content
        # A whole second reply can't be told from the due one.
        for end in range(1, len(second)):
            contents[f"front {status}[:{end}]"] = second[:end] + due.content
            contents[f"within {status}[:{end}]"] = due.head + second[:end] + due.framed_body
    return contents


# Guards against a refusal that is read as a report, and against the report of another answer.
@pytest.mark.parametrize("status", [200, 500])
async def test_cut_reply_does_not_join_the_report_of_an_engine(status: int) -> None:
    """A report is the engine's own, or there is none."""
    contents = _joined(_reply(status, DUE_SEQUENCE))
    results = await asyncio.gather(
        *(_async_reply(content, EngineClient().async_report) for content in contents.values())
    )
    faults = [
        f"{label}: {result}"
        for label, result in zip(contents, results, strict=True)
        if result.is_ok() and (status != 200 or result.ok.order_count != DUE_SEQUENCE)
    ]
    assert not faults, describe(faults, len(contents))


# Guards against an order that an engine refused and that counts as begun.
@pytest.mark.parametrize("status", [409, 500])
async def test_cut_reply_does_not_join_the_reply_to_an_order(status: int) -> None:
    """An order has the outcome that the engine told, or an unknown one."""

    async def async_place(record: EndpointRecord) -> Result[OrderOutcome, Refusal]:
        return await EngineClient().async_place(record, LayerRange(0, 8), 0, Term(1))

    contents = _joined(_reply(status, DUE_SEQUENCE))
    results = await asyncio.gather(
        *(_async_reply(content, async_place) for content in contents.values())
    )
    faults = [
        f"{label}: {result}"
        for label, result in zip(contents, results, strict=True)
        if result.is_ok() and (status != 409 or result.ok is not OrderOutcome.CONFLICT)
    ]
    assert not faults, describe(faults, len(contents))
