"""A gateway is killed under streams that may be resumed; their route has two services."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import client, operator, servers
from standins.case import async_wait_for, async_wait_ready, run_case
from standins.http import Message, encode, encode_head
from standins.site import Site, UnavailableError

_STREAMS = 16
_EVENTS = 20
_EVENT_INTERVAL_S = 0.1
_KILLED_AFTER_S = 1.0
_DEADLINE_MS = 20_000
# A client repeats a refused attempt after the longest `Retry-After` of a gateway.
_RETRIES = 3
_RETRY_AFTER_S = 1.0


@dataclass
class _Stream:
    """What a client has received of one stream.

    Attributes:
        pieces: Numbers of the events in the order of their arrival.
        stamps: Stamps of the answers.
        is_complete: Whether the last answer ended as a complete one.
    """

    pieces: list[int] = field(default_factory=list)
    stamps: list[str] = field(default_factory=list)
    is_complete: bool = False


async def async_case(site: Site, with_trouble: bool) -> list[str]:
    """Run streams over one gateway, kill it, and resume the streams over the other one."""
    zones = ("quito-norte", "guayaquil-sur", "cuenca-centro")
    addresses = [site.address() for _ in zones]
    controls = [f"{address}:{site.ports['control']}" for address in addresses]
    for zone, address in zip(zones, addresses, strict=True):
        site.start(site.add("registry", zone, controls, bootstrap=True, address=address))
    gateways = [site.add("gateway", zone, controls, bootstrap=True) for zone in zones[:2]]
    for gateway in gateways:
        site.start(gateway)
    for number, service in enumerate(["models"] * 3 + ["bodega"] * 3):
        await servers.Server(
            f"i-{service}-{number}",
            service,
            zones[number % len(zones)],
            site.address(),
            lambda: controls,
            site.record,
            _async_answer_with_events,
            kind="a100" if service == "models" else None,
        ).async_start()
    splits = [{"service": "models", "weight": 50}, {"service": "bodega", "weight": 50}]
    changes = {"timeout-ms": _DEADLINE_MS, "resumable": True, "gap-target-ms": 200}
    route = operator.route("r-plan", "/plan/", "stream", "", **changes, **{"traffic-split": splits})
    del route["service"]
    services = [operator.engine_service("models"), operator.service("bodega")]
    document = operator.configuration(1, [route], services)
    if not await operator.async_put(controls, document, site.record):
        raise UnavailableError("the configuration was not acknowledged")
    for gateway in gateways:
        await async_wait_ready(site, gateway)
    fronts = [f"{gateway.address}:{site.ports['front']}" for gateway in gateways]

    async def async_is_serving() -> bool:
        probes = [_Stream() for _ in range(8)]
        await asyncio.gather(*(_async_attempt(site, fronts[1], probe) for probe in probes))
        return all(probe.is_complete for probe in probes)

    await async_wait_for(async_is_serving, "service of all streams")
    streams = [_Stream() for _ in range(_STREAMS)]
    running = [asyncio.create_task(_async_attempt(site, fronts[0], stream)) for stream in streams]
    await asyncio.sleep(_KILLED_AFTER_S)
    if with_trouble:
        site.signal(gateways[0], signal.SIGKILL)
    await asyncio.gather(*running)
    if with_trouble:
        site.start(gateways[0])
    begun = [stream for stream in streams if stream.pieces]
    if not begun:
        raise UnavailableError("no stream had begun")
    for _ in range(_RETRIES):
        broken = [stream for stream in streams if not stream.is_complete]
        await asyncio.gather(*(_async_attempt(site, fronts[1], stream) for stream in broken))
        await asyncio.sleep(_RETRY_AFTER_S)
    breaks = []
    for number, stream in enumerate(streams):
        again = [
            after for before, after in itertools.pairwise(stream.pieces) if after != before + 1
        ]
        if again:
            breaks.append(
                f"ORDER: stream {number} got piece {again[0]} after piece "
                f"{stream.pieces[stream.pieces.index(again[0], again[0]) - 1]}"
                f"; answers of {stream.stamps}"
            )
    return breaks


async def _async_attempt(site: Site, front: str, stream: _Stream) -> None:
    """Send one attempt, which goes on after the last piece; read what comes."""
    attempt_id = client.new_attempt_id()
    headers = client.request_headers(attempt_id, _DEADLINE_MS)
    headers["X-Lagoonwing-Model"] = "daka510000"
    headers["X-Lagoonwing-Token-Count"] = f"760,{_EVENTS * 3}"
    headers["X-Lagoonwing-Prompt-Prefix"] = f"5c1e07a2:40,{attempt_id}:720"
    if stream.pieces:
        headers["Last-Event-Id"] = str(stream.pieces[-1])
    site.record("request", attempt=attempt_id, to=front, after=headers.get("Last-Event-Id"))
    host, _, port = front.rpartition(":")
    received: list[int] = []
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(encode("POST /plan/x HTTP/1.1", headers, b"a torn tent"))
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status, *lines = head.split("\r\n")
        site.record("head", attempt=attempt_id, status=status)
        for line in lines:
            if line.lower().startswith("x-lagoonwing-response-stamp:"):
                stream.stamps.append(line.partition(":")[2].strip())
        while " 200 " in status:
            line_bytes = await reader.readline()
            if line_bytes.startswith(b"id: "):
                received.append(int(line_bytes[4:]))
            elif line_bytes.strip() == b"0" or received[-1:] == [_EVENTS]:
                stream.is_complete = True
                break
            elif not line_bytes:
                break
        writer.close()
    except (OSError, EOFError) as error:
        site.record("broken off", attempt=attempt_id, error=type(error).__name__)
    stream.pieces.extend(received)
    site.record("answer", attempt=attempt_id, pieces=received, complete=stream.is_complete)


async def _async_answer_with_events(
    server: servers.Server, request: Message, writer: asyncio.StreamWriter
) -> bool:
    """Answer with a series of events that goes on after the last one that the client has."""
    first = int(request.headers.get("last-event-id", "0")) + 1
    headers = {
        **servers.success_headers(server, request),
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    writer.write(encode_head("HTTP/1.1 200 OK", headers))
    for number in range(first, _EVENTS + 1):
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(_EVENT_INTERVAL_S)
    writer.write(b"0\r\n\r\n")
    return True


run_case(Path(__file__).resolve().parent, async_case)
