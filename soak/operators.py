"""Simulated operator and endpoint announcements."""

from __future__ import annotations

import asyncio

import msgspec

from lagoonwing_fakes.platform import (
    SystemProcess,
    heartbeat_path,
    make_document,
    make_heartbeat,
)
from lagoonwing_fakes.platform.const import ANNOUNCE_INTERVAL_S, CONTROL_PORT
from lagoonwing_platform.const import PATH_GET_DOCUMENT, PATH_PUT_DOCUMENT
from soak.client import async_fetch
from soak.endpoints import SoakEndpoint
from soak.models import SoakContext


class Operators:
    """Writes documents, reads them back and announces endpoints."""

    def __init__(self, context: SoakContext) -> None:
        self._context = context
        self._version = 0

    async def async_write_and_read(self) -> None:
        """Write and read the document in a loop; reads must not precede accepted writes."""
        while True:
            await asyncio.sleep(self._context.rng.uniform(0.3, 1.5))
            if self._context.rng.random() < 0.5:
                await self.async_put()
                continue
            accepted = self._context.accepted_version
            version = await self.async_read()
            if version is not None and version < accepted:
                self._context.outcome.violations.append(
                    f"stale read: version {version} after {accepted} was accepted"
                )

    async def async_put(self) -> bool:
        """Send the next document version to the replicas in turn until one accepts it."""
        self._version += 1
        return await self._async_send(self._version, make_document(self._version)) is not None

    async def _async_send(self, version: int, source: bytes) -> SystemProcess | None:
        """Send a document to the replicas in turn; return the one that accepts it, if any."""
        for process in self._shuffled(self._context.processes.registries):
            answer = await async_fetch(process, CONTROL_PORT, PATH_PUT_DOCUMENT, source)
            if answer is not None and answer.code == 200:
                self._context.accepted_version = max(self._context.accepted_version, version)
                return process
        return None

    async def async_send_clashes(self) -> None:
        """Send documents that older builds accept; one that was accepted is never refused later."""
        while True:
            await asyncio.sleep(self._context.rng.uniform(0.3, 1.5))
            self._version += 1
            source = _make_clash(self._version)
            accepted_by = await self._async_send(self._version, source)
            if accepted_by is None:
                continue
            await asyncio.sleep(self._context.rng.uniform(0.0, 2.0))
            for process in self._shuffled(self._context.processes.registries):
                answer = await async_fetch(process, CONTROL_PORT, PATH_PUT_DOCUMENT, source)
                if answer is not None and 400 <= answer.code < 500:
                    self._context.outcome.violations.append(
                        f"{process.name} refuses version {msgspec.json.decode(source)['version']}, "
                        f"which {accepted_by.name} accepted: {answer.body!r}"
                    )

    async def async_read(self) -> int | None:
        """Return the version from the first replica that answers a read, or `None`."""
        for process in self._shuffled(self._context.processes.registries):
            answer = await async_fetch(process, CONTROL_PORT, PATH_GET_DOCUMENT, None)
            if answer is not None and answer.code == 200:
                return int(msgspec.json.decode(answer.body)["version"])
        return None

    async def async_announce_periodically(self, *, may_drain: bool = True) -> None:
        """Announce every endpoint periodically; one endpoint may start to drain at random."""
        while True:
            for endpoint in self._context.endpoints:
                if endpoint.is_up and endpoint.endpoint_id not in self._context.drained_at_by_id:
                    await self.async_announce(endpoint, "ready")
            drains_now = may_drain and self._context.rng.random() < 0.05
            if drains_now and not self._context.drained_at_by_id:
                await self._async_drain(self._context.endpoints[0])
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _async_drain(self, endpoint: SoakEndpoint) -> None:
        """Announce that an endpoint drains, unless it is down."""
        endpoint_id = endpoint.endpoint_id
        if endpoint.is_up and await self.async_announce(endpoint, "draining"):
            self._context.drained_at_by_id[endpoint_id] = asyncio.get_running_loop().time()
            self._context.outcome.record_fault(f"drained {endpoint_id}")

    async def async_announce(self, endpoint: SoakEndpoint, state: str) -> bool:
        """Send one announcement; return whether it was accepted."""
        endpoint.sequence += 1
        body = make_heartbeat(
            endpoint.service,
            endpoint.port,
            endpoint.sequence,
            "small" if endpoint.is_engine else None,
            endpoint.layers,
            state=state,
            born=endpoint.incarnation,
        )
        path = heartbeat_path(endpoint.endpoint_id)
        for process in self._shuffled(self._context.processes.registries):
            answer = await async_fetch(process, CONTROL_PORT, path, body)
            if answer is not None and answer.code == 200:
                return True
        return False

    def _shuffled(self, processes: list[SystemProcess]) -> list[SystemProcess]:
        """Return the processes in random order."""
        return self._context.rng.sample(processes, len(processes))


def _make_clash(version: int) -> bytes:
    """Return a document with two routes that differ in the letters of their host only."""
    document = msgspec.json.decode(make_document(version))
    route = document["routes"][0]
    document["routes"].append({**route, "name": "again", "host": route["host"].upper()})
    return msgspec.json.encode(document)
