"""A server of a stream route runs a request and its answer is lost; the stream can't be resumed."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import client, operator, servers
from standins.case import async_wait_ready, run_case
from standins.http import Message, encode_head
from standins.site import Site, UnavailableError

_REQUESTS = 20
_EVENTS = 6
_EVENT_INTERVAL_S = 0.02
# The share `x` of the answers that are lost, as on the sheet for `answer_lost`: one in twenty.
_LOST_REQUESTS = frozenset({7})


async def async_case(site: Site, with_trouble: bool) -> list[str]:
    """Send requests on a stream route and count how often each runs."""
    zones = ("quito-norte", "guayaquil-sur", "cuenca-centro")
    addresses = [site.address() for _ in zones]
    controls = [f"{address}:{site.ports['control']}" for address in addresses]
    for zone, address in zip(zones, addresses, strict=True):
        site.start(site.add("registry", zone, controls, bootstrap=True, address=address))
    gateway = site.add("gateway", "quito-norte", controls, bootstrap=True)
    site.start(gateway)

    lost: set[str] = set()

    async def async_answer(
        server: servers.Server, request: Message, writer: asyncio.StreamWriter
    ) -> bool:
        attempt_id = request.headers[servers.ATTEMPT_ID]
        if attempt_id in lost:
            lost.discard(attempt_id)
            await asyncio.sleep(_EVENTS * _EVENT_INTERVAL_S)
            site.record("answer lost", server=server.server_id, attempt=attempt_id)
            writer.transport.abort()
            return False
        return await _async_answer_with_events(server, request, writer)

    fleet = [
        servers.Server(
            f"i-{number}",
            "bodega",
            zone,
            site.address(),
            lambda: controls,
            site.record,
            async_answer,
        )
        for number, zone in enumerate(zones)
    ]
    for server in fleet:
        await server.async_start()
    route = operator.route("r-story", "/story/", "stream", "bodega", **{"gap-target-ms": 200})
    document = operator.configuration(1, [route], [operator.service("bodega")])
    if not await operator.async_put(controls, document, site.record):
        raise UnavailableError("the configuration was not acknowledged")
    await async_wait_ready(site, gateway)
    await asyncio.sleep(4.0)
    front = f"{gateway.address}:{site.ports['front']}"
    attempt_ids = [client.new_attempt_id() for _ in range(_REQUESTS)]
    for number, attempt_id in enumerate(attempt_ids):
        if with_trouble and number in _LOST_REQUESTS:
            lost.add(attempt_id)
        answer = await client.async_send(
            front, "POST", "/story/x", site.record, body=b"tell it", attempt_id=attempt_id
        )
        if not with_trouble and (answer is None or answer.status != 200):
            raise UnavailableError("a request was not served without any disruption")
    breaks = []
    for attempt_id in attempt_ids:
        runs = [server.server_id for server in fleet if attempt_id in server.runs]
        count = sum(server.runs.count(attempt_id) for server in fleet)
        if count > 1:
            breaks.append(f"TWICE: request {attempt_id} ran {count} times, at {', '.join(runs)}")
    return breaks


async def _async_answer_with_events(
    server: servers.Server, request: Message, writer: asyncio.StreamWriter
) -> bool:
    """Answer with a short series of events."""
    headers = {
        **servers.success_headers(server, request),
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    writer.write(encode_head("HTTP/1.1 200 OK", headers))
    for number in range(1, _EVENTS + 1):
        event = f"id: {number}\ndata: {server.server_id} {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(_EVENT_INTERVAL_S)
    writer.write(b"0\r\n\r\n")
    return True


run_case(Path(__file__).resolve().parent, async_case)
