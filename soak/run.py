"""One seeded run: load, faults that overlap, then quiet, then the checks."""

from __future__ import annotations

import asyncio
import random
import tempfile
from pathlib import Path

from lagoonwing_fakes.platform import make_processes
from lagoonwing_fakes.platform.const import PEER_PORT
from soak.callers import Callers
from soak.const import CALLERS, ENDPOINTS, ENGINES, GATEWAYS, REGISTRIES, SETTLE_S, START_TIMEOUT_S
from soak.endpoints import SoakEndpoint
from soak.faults import Faults
from soak.models import Outcome, World
from soak.operators import Operators
from soak.proxy import Proxy


class SoakRun:
    """Parts of one run."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        rng = random.Random(seed)
        processes = make_processes(
            folder, 1 + seed % 200, REGISTRIES, GATEWAYS, behind_proxies=True
        )
        self._seconds = seconds
        self.world = World(rng, Outcome(seed), processes)
        self.world.proxies = [
            Proxy(one.address, one.listen_address, PEER_PORT, rng) for one in processes.registries
        ]
        self._callers = Callers(self.world)
        self.operators = Operators(self.world)
        self._faults = Faults(self.world)
        self._tasks: list[asyncio.Task[None]] = []

    async def async_run(self) -> Outcome:
        """Run to the end and check."""
        loop = asyncio.get_running_loop()
        try:
            await self.async_start()
            self._tasks = [loop.create_task(self._callers.async_call()) for _ in range(CALLERS)]
            self._tasks += [
                loop.create_task(self.operators.async_beat()),
                loop.create_task(self.operators.async_operate()),
                loop.create_task(self._faults.async_supervise()),
            ]
            faults = [loop.create_task(self._faults.async_cause()) for _ in range(2)]
            await asyncio.sleep(self._seconds)
            for task in faults:
                task.cancel()
            await asyncio.gather(*faults, return_exceptions=True)
            await self._async_settle()
        finally:
            await self.async_stop()
        self._callers.check_runs()
        return self.world.outcome

    async def async_start(self) -> None:
        """Start everything and wait until it serves."""
        world = self.world
        for number in range(ENDPOINTS + ENGINES):
            service = "plain" if number < ENDPOINTS else "engines"
            endpoint = SoakEndpoint(f"e-{number}", service, world.seen, world.rng)
            await endpoint.async_setup()
            world.endpoints.append(endpoint)
        for proxy in world.proxies:
            await proxy.async_setup()
        for process in world.processes.all():
            process.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.operators.async_put():  # noqa: ASYNC110
                await asyncio.sleep(0.2)

    async def _async_settle(self) -> None:
        """End all faults and see whether callers are served again."""
        world = self.world
        self._faults.end_all()
        await asyncio.sleep(SETTLE_S)
        world.is_quiet = True
        await asyncio.sleep(SETTLE_S / 2)
        violations = world.outcome.violations
        if world.outcome.served_after == 0:
            violations.append("nothing is served though all faults are over")
        version = await self.operators.async_read()
        if version is None or version < world.accepted_version:
            violations.append(f"read back {version}, accepted {world.accepted_version}")

    async def async_stop(self) -> None:
        """End everything that the run has started."""
        for task in self._tasks:
            task.cancel()
        for process in self.world.processes.all():
            process.stop()
        for proxy in self.world.proxies:
            await proxy.async_unload()
        for endpoint in self.world.endpoints:
            await endpoint.async_unload()


def run_seed(seed: int, seconds: float) -> Outcome:
    """Run one seed in a folder of its own, which is kept if a promise is broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    outcome = asyncio.run(SoakRun(seed, seconds, folder).async_run())
    if outcome.violations:
        outcome.violations.append(f"logs: {folder.name}")
    return outcome
