"""Demonstration of the platform's protocols: operator, endpoint announcements and callers."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from demo.report import expect, say
from lagoonwing_fakes.platform import (
    Endpoint,
    heartbeat_path,
    make_caller_headers,
    make_document,
    make_processes,
    start_endpoint,
)
from lagoonwing_fakes.platform.const import (
    ANNOUNCE_INTERVAL_S,
    CALLER_PORT,
    CONTROL_PORT,
)
from lagoonwing_platform.const import (
    HEADER_SIGNATURE,
    PATH_PUT_DOCUMENT,
)

NETWORK = 199
REGISTRIES = 3
GATEWAYS = 2
ENGINES = 4
WAIT_TIMEOUT_S = 30.0
DEADLINE_MS = 3_000


class SiteDemo:
    """Three registries and two gateways with simulated endpoints of the platform."""

    def __init__(self, folder: Path) -> None:
        self._processes = make_processes(folder, NETWORK, REGISTRIES, GATEWAYS)
        self._endpoints: list[Endpoint] = []
        self._client = SimpleAsyncHTTPClient(force_instance=True)
        self._sent = 0

    async def async_run(self) -> None:
        """Run all steps."""
        say("\nplatform: 3 registries and 2 gateways")
        announcements: asyncio.Task[None] | None = None
        try:
            for process in self._processes.all():
                process.start()
            await self._async_put_document()
            self._endpoints = [start_endpoint(f"p-{number}", "plain") for number in (1, 2)]
            self._endpoints += [
                start_endpoint(f"e-{number}", "engines", "small") for number in range(ENGINES)
            ]
            announcements = asyncio.get_running_loop().create_task(
                self._async_announce_periodically()
            )
            await self._async_show_placement()
            await self._async_show_calls()
            await self._async_show_loss()
        finally:
            if announcements is not None:
                announcements.cancel()
            for process in self._processes.all():
                process.stop()

    async def _async_put_document(self) -> None:
        """Retry sending the operator's document until a replica accepts it."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                answer = await self._async_send(
                    self._processes.registries[0].address,
                    CONTROL_PORT,
                    PATH_PUT_DOCUMENT,
                    make_document(),
                )
                if answer is not None and answer.code == 200:
                    break
                await asyncio.sleep(0.1)
        say("operator: document 1 accepted by a majority of the registries")

    async def _async_announce_periodically(self) -> None:
        """Announce every endpoint periodically."""
        while True:
            for endpoint in self._endpoints:
                path = heartbeat_path(endpoint.endpoint_id)
                address = self._processes.registries[0].address
                await self._async_send(address, CONTROL_PORT, path, endpoint.heartbeat())
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _async_show_placement(self) -> None:
        """Wait until every engine has loaded the layers it was ordered to."""
        engines = [endpoint for endpoint in self._endpoints if endpoint.kind is not None]
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while any(endpoint.layers is None for endpoint in engines):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        for endpoint in engines:
            say(f"  {endpoint.endpoint_id} was ordered to hold layers {endpoint.layers}")

    async def _async_show_calls(self) -> None:
        """Send a request of each kind."""
        for kind in ("safe", "unsafe", "stream"):
            answer = await self._async_until_served(0, kind)
            say(f"\ncaller: {kind} request through gateway 0: HTTP {answer.code}")
            expect(HEADER_SIGNATURE in answer.headers, "signed by the endpoint that ran it")

    async def _async_show_loss(self) -> None:
        """Kill a registry and check that both gateways keep serving."""
        self._processes.registries[0].stop()
        say("\nkilled registry 0")
        for number in range(GATEWAYS):
            answer = await self._async_until_served(number, "safe")
            expect(answer.code == 200, f"gateway {number} keeps serving")

    async def _async_until_served(self, gateway: int, kind: str) -> HTTPResponse:
        """Repeat a request until it succeeds."""
        address = self._processes.gateways[gateway].address
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                self._sent += 1
                headers = make_caller_headers(kind, f"demo-{self._sent}", DEADLINE_MS)
                body = None if kind == "safe" else b"question"
                answer = await self._async_send(address, CALLER_PORT, f"/{kind}/x", body, headers)
                if answer is not None and answer.code == 200:
                    return answer
                await asyncio.sleep(0.1)

    async def _async_send(
        self,
        address: str,
        port: int,
        path: str,
        body: bytes | None,
        headers: dict[str, str] | None = None,
    ) -> HTTPResponse | None:
        """Send one request; return `None` if the connection fails."""
        request = HTTPRequest(
            f"http://{address}:{port}{path}",
            method="GET" if body is None else "POST",
            body=body,
            headers=headers,
        )
        try:
            return await self._client.fetch(request, raise_error=False)
        except OSError:
            # The process is not listening yet.
            return None
