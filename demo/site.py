"""The path on the users' platform: operator, endpoints that announce themselves, callers."""

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
WAIT_S = 30.0
DEADLINE_MS = 3_000


class SiteDemo:
    """Three registries and two gateways before stand-ins of the platform's endpoints."""

    def __init__(self, folder: Path) -> None:
        self._processes = make_processes(folder, NETWORK, REGISTRIES, GATEWAYS)
        self._endpoints: list[Endpoint] = []
        self._client = SimpleAsyncHTTPClient(force_instance=True)
        self._asked = 0

    async def async_run(self) -> None:
        """Run every step."""
        say("\nthe users' platform: 3 registries and 2 gateways")
        beat: asyncio.Task[None] | None = None
        try:
            for process in self._processes.all():
                process.start()
            await self._async_put_document()
            self._endpoints = [start_endpoint(f"p-{number}", "plain") for number in (1, 2)]
            self._endpoints += [
                start_endpoint(f"e-{number}", "engines", "small") for number in range(ENGINES)
            ]
            beat = asyncio.get_running_loop().create_task(self._async_beat())
            await self._async_show_placement()
            await self._async_show_calls()
            await self._async_show_loss()
        finally:
            if beat is not None:
                beat.cancel()
            for process in self._processes.all():
                process.stop()

    async def _async_put_document(self) -> None:
        """Send the operator's document until a replica has accepted it."""
        async with asyncio.timeout(WAIT_S):
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

    async def _async_beat(self) -> None:
        """Let every endpoint announce itself."""
        while True:
            for endpoint in self._endpoints:
                path = heartbeat_path(endpoint.endpoint_id)
                address = self._processes.registries[0].address
                await self._async_send(address, CONTROL_PORT, path, endpoint.heartbeat())
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _async_show_placement(self) -> None:
        """Wait until the engines hold layers as they were ordered to."""
        engines = [one for one in self._endpoints if one.kind is not None]
        async with asyncio.timeout(WAIT_S):
            while any(one.layers is None for one in engines):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        for one in engines:
            say(f"  {one.endpoint_id} was ordered to hold layers {one.layers}")

    async def _async_show_calls(self) -> None:
        """Send a request of each kind."""
        for kind in ("safe", "unsafe", "stream"):
            answer = await self._async_until_served(0, kind)
            say(f"\ncaller: {kind} request through gateway 0: HTTP {answer.code}")
            expect(HEADER_SIGNATURE in answer.headers, "signed by the endpoint that ran it")

    async def _async_show_loss(self) -> None:
        """Kill a registry; both gateways serve on."""
        self._processes.registries[0].stop()
        say("\nregistry 0 is killed")
        for number in range(GATEWAYS):
            answer = await self._async_until_served(number, "safe")
            expect(answer.code == 200, f"gateway {number} serves on")

    async def _async_until_served(self, gateway: int, kind: str) -> HTTPResponse:
        """Ask until an answer is whole."""
        address = self._processes.gateways[gateway].address
        async with asyncio.timeout(WAIT_S):
            while True:
                self._asked += 1
                headers = make_caller_headers(kind, f"demo-{self._asked}", DEADLINE_MS)
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
        """Send one request; return nothing while nobody listens."""
        request = HTTPRequest(
            f"http://{address}:{port}{path}",
            method="GET" if body is None else "POST",
            body=body,
            headers=headers,
        )
        try:
            return await self._client.fetch(request, raise_error=False)
        except OSError:
            # The process has not started to listen yet.
            return None
