"""Load generator process: keeps requests open and prints its counts as JSON.

Arguments: a JSON object with the fields of `ClientPlan`.
"""

from __future__ import annotations

import asyncio
import sys
import time
from dataclasses import dataclass, field

import msgspec
import uvloop


class ClientPlan(msgspec.Struct):
    """Settings of a load generator process.

    Attributes:
        concurrency: Number of concurrent requests.
        duration_s: Duration of the load; requests still open at its end are not counted.
        streamed: Whether responses are streamed.
        rate_per_s: Requests started per second; 0 for a closed loop.
    """

    address: str
    port: int
    key: str
    concurrency: int
    duration_s: float
    prompt: str
    streamed: bool
    rate_per_s: float = 0.0


@dataclass
class Tally:
    """Counts of a load generator process."""

    requests: int = 0
    tokens: int = 0
    failed: int = 0
    first_token_s: list[float] = field(default_factory=list)


def request_bytes(plan: ClientPlan) -> bytes:
    """Return the encoded request."""
    message = {"role": "user", "content": plan.prompt}
    body = msgspec.json.encode({"model": "m1", "messages": [message], "stream": plan.streamed})
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: bench\r\nX-Attempt: 1\r\n"
        f"Authorization: Bearer {plan.key}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def async_one(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, plan: ClientPlan, tally: Tally
) -> None:
    """Send one request and read its response."""
    sent = time.perf_counter()
    writer.write(request_bytes(plan))
    head = await reader.readuntil(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        tally.failed += 1
    lowered = head.lower()
    if b"content-length: " in lowered:
        length = int(lowered.split(b"content-length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        tally.first_token_s.append(time.perf_counter() - sent)
        tally.requests += 1
        return
    first = True
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            tally.requests += 1
            return
        if first:
            tally.first_token_s.append(time.perf_counter() - sent)
            first = False
        tally.tokens += chunk.count(b'"finish_reason":null')


async def async_worker(plan: ClientPlan, tally: Tally, offset: int) -> None:
    """Send requests in sequence on one connection."""
    reader, writer = await asyncio.open_connection(plan.address, plan.port)
    loop = asyncio.get_running_loop()
    period = plan.concurrency / plan.rate_per_s if plan.rate_per_s else 0.0
    due = loop.time() + (offset / plan.rate_per_s if plan.rate_per_s else 0.0)
    try:
        while True:
            if period:
                await asyncio.sleep(max(0.0, due - loop.time()))
                due += period
            await async_one(reader, writer, plan, tally)
    finally:
        writer.close()


async def async_main(plan: ClientPlan) -> None:
    """Run the load for its duration and print the counts."""
    tally = Tally()
    workers = [
        asyncio.create_task(async_worker(plan, tally, number)) for number in range(plan.concurrency)
    ]
    await asyncio.sleep(plan.duration_s)
    for worker in workers:
        worker.cancel()
    await asyncio.gather(*workers, return_exceptions=True)
    print(msgspec.json.encode(tally.__dict__).decode(), flush=True)


if __name__ == "__main__":
    uvloop.run(async_main(msgspec.json.decode(sys.argv[1], type=ClientPlan)))
