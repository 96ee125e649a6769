"""Gateway processes of which some reach no endpoint, and callers of all of them."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

from cut_links import CutLinks, CutMode
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.iostream import StreamClosedError
from tornado.web import Finish

from lagoonwing_core.tasks import TaskSet
from lagoonwing_fakes.platform import (
    Endpoint,
    Processes,
    SystemProcess,
    WorkHandler,
    heartbeat_path,
    make_caller_headers,
    make_document,
    make_heartbeat,
    make_processes,
    start_endpoint,
)
from lagoonwing_fakes.platform.const import ANNOUNCE_INTERVAL_S, CALLER_PORT, CONTROL_PORT, EVENTS
from lagoonwing_platform.const import (
    HEADER_LAST_EVENT,
    HEADER_SIGNATURE,
    HEADER_TOKENS,
    PATH_PUT_DOCUMENT,
)

GATEWAYS = 4
REGISTRIES = 3
ENDPOINTS = 8
START_TIMEOUT_S = 25.0
REQUEST_INTERVAL_S = 0.1
DEADLINE_MS = 3_000
WORK_S = 0.05
COMPLETE_STREAM = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
_TIMEOUT_S = 4.0


@dataclass(frozen=True)
class Sent:
    """A first try, and how it ended.

    Attributes:
        code: Status of the answer; 0 without one.
    """

    gateway: SystemProcess
    kind: str
    attempt_id: str
    sent_at: float
    ended_at: float
    code: int
    is_whole: bool
    retry_after: str | None


@dataclass
class CutPlay:
    """Processes, endpoints behind links, and the requests of callers."""

    processes: Processes
    links: CutLinks
    endpoints: list[Endpoint]
    sent: list[Sent] = field(default_factory=list)
    tasks: TaskSet = field(default_factory=lambda: TaskSet("cut_play"))
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    port_by_endpoint: dict[str, int] = field(default_factory=dict)
    event_pause_s: float = 0.0

    def cut(self, gateway: SystemProcess, mode: CutMode) -> None:
        """Cut a gateway off from all endpoints."""
        assert gateway.popen is not None
        self.links.cut(gateway.popen.pid, mode)

    def runs(self) -> Counter[str]:
        """Return how often each request was run."""
        return Counter(
            attempt_id for endpoint in self.endpoints for attempt_id in endpoint.executed_ids
        )

    async def async_call_all(self, seconds: float, *kinds: str) -> None:
        """Send requests of these kinds to all gateways for some time, and wait for the answers."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        requests: list[asyncio.Task[None]] = []
        while loop.time() < ends_at:
            for gateway, kind in itertools.product(self.processes.gateways, kinds):
                requests.append(asyncio.ensure_future(self.async_call(gateway, kind)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*requests)

    async def async_call(self, gateway: SystemProcess, kind: str) -> None:
        """Send one request, and record how it ended."""
        loop = asyncio.get_running_loop()
        attempt_id, sent_at = f"a-{next(self.numbers)}", loop.time()
        code, is_whole, retry_after = 0, False, None
        client = AsyncHTTPClient(force_instance=True)
        with suppress(OSError, HTTPClientError):
            response = await client.fetch(
                f"http://{gateway.address}:{CALLER_PORT}/{kind}/x",
                method="GET" if kind == "safe" else "POST",
                body=None if kind == "safe" else attempt_id.encode(),
                headers=make_caller_headers(kind, attempt_id, DEADLINE_MS),
                raise_error=False,
                request_timeout=_TIMEOUT_S,
            )
            code, retry_after = response.code, response.headers.get("Retry-After")
            is_whole = code == 200 and HEADER_SIGNATURE in response.headers
            if kind == "stream":
                is_whole = is_whole and response.body == COMPLETE_STREAM
            else:
                is_whole = is_whole and attempt_id.encode() in response.body
        client.close()
        self.sent.append(
            Sent(gateway, kind, attempt_id, sent_at, loop.time(), code, is_whole, retry_after)
        )

    def share_served(
        self, gateways: list[SystemProcess], since: float, kind: str | None = None
    ) -> float:
        """Return the share of first tries at some gateways that was served."""
        sent = [
            item
            for item in self.sent
            if item.gateway in gateways and item.sent_at >= since and kind in (None, item.kind)
        ]
        assert len(sent) >= 20
        return sum(item.is_whole for item in sent) / len(sent)

    async def async_start(self) -> None:
        """Open the links, and wait until all gateways serve."""
        for endpoint in self.endpoints:
            endpoint.handler_override = self._async_work
            self.port_by_endpoint[endpoint.endpoint_id] = await self.links.async_open(endpoint.port)
        self.tasks.spawn(self._async_announce())
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._async_configure():  # noqa: ASYNC110
                await asyncio.sleep(0.1)
            for gateway in self.processes.gateways:
                while not await self._async_serves(gateway):  # noqa: ASYNC110
                    await asyncio.sleep(0.1)

    async def _async_work(self, handler: WorkHandler) -> None:
        """Work for a while, and answer whoever still waits."""
        await asyncio.sleep(WORK_S)
        try:
            if self.event_pause_s and HEADER_TOKENS in handler.request.headers:
                await self._async_send_events(handler)
            else:
                await handler.send_response()
        except StreamClosedError as error:
            # The handler would run the request once more for nobody.
            raise Finish from error

    async def _async_send_events(self, handler: WorkHandler) -> None:
        """Send the events after the last one that the caller has, with pauses."""
        endpoint = handler.endpoint
        endpoint.executed_ids.append(handler.attempt_id)
        handler.set_header(HEADER_SIGNATURE, f"stamp-{endpoint.endpoint_id}")
        handler.set_header("Content-Type", "text/event-stream")
        first = int(handler.request.headers.get(HEADER_LAST_EVENT, "0")) + 1
        for number in range(first, EVENTS + 1):
            handler.write(f"id: {number}\ndata: token {number}\n\n")
            await handler.flush()
            await asyncio.sleep(self.event_pause_s)
        handler.finish()

    async def _async_configure(self) -> bool:
        """Send the document; return whether it was accepted."""
        return await self._async_control(PATH_PUT_DOCUMENT, _document()) == 200

    async def _async_serves(self, gateway: SystemProcess) -> bool:
        """Return whether a gateway serves each kind of request."""
        before = len(self.sent)
        for kind in ("safe", "unsafe", "stream"):
            await self.async_call(gateway, kind)
        served = all(item.is_whole for item in self.sent[before:])
        del self.sent[before:]
        return served

    async def _async_announce(self) -> None:
        """Announce all endpoints at their links."""
        while True:
            for endpoint in self.endpoints:
                endpoint.sequence += 1
                port = self.port_by_endpoint[endpoint.endpoint_id]
                body = make_heartbeat(
                    endpoint.service, port, endpoint.sequence, endpoint.kind, endpoint.layers
                )
                await self._async_control(heartbeat_path(endpoint.endpoint_id), body)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _async_control(self, path: str, body: bytes) -> int:
        """Send something to the first registry that takes it; return the status."""
        for registry in self.processes.registries:
            with suppress(OSError, HTTPClientError):
                response = await AsyncHTTPClient().fetch(
                    f"http://{registry.address}:{CONTROL_PORT}{path}",
                    method="POST",
                    body=body,
                    request_timeout=1.0,
                )
                return response.code
        return 0


@asynccontextmanager
async def async_run_play(
    folder: Path, network: int, gateways: int = GATEWAYS
) -> AsyncIterator[CutPlay]:
    """Run registries, gateways and plain endpoints."""
    processes = make_processes(folder, network, REGISTRIES, gateways)
    endpoints = [
        start_endpoint(f"e-{n}", "plain" if n < ENDPOINTS // 2 else "streams")
        for n in range(ENDPOINTS)
    ]

    def process_ids() -> list[int]:
        return [item.popen.pid for item in processes.gateways if item.popen is not None]

    play = CutPlay(processes, CutLinks(process_ids), endpoints)
    for process in processes.all():
        process.start()
    try:
        await play.async_start()
        yield play
    finally:
        await play.tasks.async_cancel()
        for process in processes.all():
            process.stop()
        await play.links.async_close()
        for endpoint in endpoints:
            endpoint.crash()


def _document() -> bytes:
    """Return a document with a service for calls and one for streams, both without layers."""
    document = json.loads(make_document())
    for route in document["routes"]:
        if route["kind"] == "stream":
            route["service"] = "streams"
    plain = next(item for item in document["services"] if item["name"] == "plain")
    document["services"] = [
        {**plain, "max-connections": 1_000},
        {**plain, "name": "streams", "max-connections": 1_000},
    ]
    return json.dumps(document).encode()
