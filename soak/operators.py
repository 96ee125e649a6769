"""The operator and the announcements of endpoints."""

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
from soak.models import World


class Operators:
    """Changes documents, reads them back, and announces endpoints."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._version = 0

    async def async_operate(self) -> None:
        """Change the document and read it back."""
        while True:
            await asyncio.sleep(self._world.rng.uniform(0.3, 1.5))
            if self._world.rng.random() < 0.5:
                await self.async_put()
                continue
            accepted = self._world.accepted_version
            version = await self.async_read()
            if version is not None and version < accepted:
                self._world.outcome.violations.append(
                    f"read {version} after {accepted} was accepted"
                )

    async def async_put(self) -> bool:
        """Send the next document until it is accepted or no replica takes it."""
        self._version += 1
        version = self._version
        for process in self._shuffled(self._world.processes.registries):
            answer = await async_fetch(
                process, CONTROL_PORT, PATH_PUT_DOCUMENT, make_document(version)
            )
            if answer is not None and answer.code == 200:
                self._world.accepted_version = max(self._world.accepted_version, version)
                return True
        return False

    async def async_read(self) -> int | None:
        """Return the version that a replica reads, if one is sure."""
        for process in self._shuffled(self._world.processes.registries):
            answer = await async_fetch(process, CONTROL_PORT, PATH_GET_DOCUMENT, None)
            if answer is not None and answer.code == 200:
                return int(msgspec.json.decode(answer.body)["version"])
        return None

    async def async_beat(self) -> None:
        """Let every endpoint announce itself; one drains on the way."""
        while True:
            for endpoint in self._world.endpoints:
                if endpoint.endpoint_id not in self._world.drained_at_by_id:
                    await self.async_announce(endpoint, "ready")
            if self._world.rng.random() < 0.05 and not self._world.drained_at_by_id:
                endpoint = self._world.endpoints[0]
                if await self.async_announce(endpoint, "draining"):
                    now = asyncio.get_running_loop().time()
                    self._world.drained_at_by_id[endpoint.endpoint_id] = now
                    self._world.outcome.note(f"drained {endpoint.endpoint_id}")
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

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
        )
        path = heartbeat_path(endpoint.endpoint_id)
        for process in self._shuffled(self._world.processes.registries):
            answer = await async_fetch(process, CONTROL_PORT, path, body)
            if answer is not None and answer.code == 200:
                return True
        return False

    def _shuffled(self, processes: list[SystemProcess]) -> list[SystemProcess]:
        """Return processes in a random order."""
        return self._world.rng.sample(processes, len(processes))
