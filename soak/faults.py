"""Faults from outside the processes: signals, links and disks."""

from __future__ import annotations

import asyncio
import signal

from lagoonwing_fakes.platform import SystemProcess
from soak.endpoints import LinkFault, SoakEndpoint
from soak.models import World
from soak.proxy import Proxy, ProxyFault


class Faults:
    """Causes faults and starts again what has ended."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._is_wiped = False

    async def async_cause(self) -> None:
        """Cause faults one after the other; two of these run at once."""
        while True:
            await asyncio.sleep(self._world.rng.uniform(0.2, 2.0))
            match self._world.rng.randrange(10):
                case 0 | 1:
                    await self._async_end(
                        self._world.rng.choice(self._world.processes.all()), signal.SIGKILL
                    )
                case 2:
                    await self._async_pause(self._world.rng.choice(self._world.processes.all()))
                case 3:
                    await self._async_end(
                        self._world.rng.choice(self._world.processes.gateways), signal.SIGTERM
                    )
                case 4 | 5 | 6:
                    await self._async_harm_link(self._world.rng.choice(self._world.proxies))
                case 7:
                    await self._async_tear(self._world.rng.choice(self._world.processes.registries))
                case 8:
                    await self._async_wipe(self._world.rng.choice(self._world.processes.registries))
                case _:
                    await self._async_harm(self._world.rng.choice(self._world.endpoints))

    async def _async_end(self, process: SystemProcess, number: signal.Signals) -> None:
        """Tell a process to end, or end it; the supervisor starts it again."""
        self._world.outcome.note(f"{number.name} {process.name}")
        process.signal(number)
        await asyncio.sleep(self._world.rng.uniform(0.0, 1.0))

    async def async_supervise(self) -> None:
        """Start processes that have ended again, as the platform does."""
        while True:
            await asyncio.sleep(self._world.rng.uniform(0.05, 0.6))
            for process in self._world.processes.all():
                if process.popen is not None and process.popen.poll() is not None:
                    process.start()

    async def _async_pause(self, process: SystemProcess) -> None:
        """Pause a process for a while."""
        self._world.outcome.note(f"SIGSTOP {process.name}")
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self._world.rng.uniform(0.2, 3.0))
        process.signal(signal.SIGCONT)

    async def _async_wipe(self, process: SystemProcess) -> None:
        """Lose the disk of one replica while the others run and hold everything."""
        others = [one for one in self._world.processes.registries if one is not process]
        if self._world.accepted_version == 0 or any(one.popen is None for one in others):
            return
        if any(one.popen is not None and one.popen.poll() is not None for one in others):
            return
        if self._is_wiped:
            return
        self._is_wiped = True
        self._world.outcome.note(f"wipe {process.name}")
        process.stop()
        process.erase_data()

    async def _async_harm(self, endpoint: SoakEndpoint) -> None:
        """Let the connections of an endpoint misbehave for a while."""
        fault = self._world.rng.choice([one for one in LinkFault if one is not LinkFault.NONE])
        self._world.outcome.note(f"{fault.value} {endpoint.endpoint_id}")
        endpoint.fault = fault
        if fault is LinkFault.RESET:
            endpoint.reset_connections()
        await asyncio.sleep(self._world.rng.uniform(0.2, 3.0))
        endpoint.fault = LinkFault.NONE

    async def _async_harm_link(self, proxy: Proxy) -> None:
        """Let the links of a replica to its peers misbehave for a while."""
        fault = self._world.rng.choice([one for one in ProxyFault if one is not ProxyFault.NONE])
        self._world.outcome.note(f"{fault.value} {proxy.address}")
        proxy.set_fault(fault)
        await asyncio.sleep(self._world.rng.uniform(0.2, 4.0))
        proxy.set_fault(ProxyFault.NONE)

    async def _async_tear(self, process: SystemProcess) -> None:
        """Kill a replica in the midst of a write, which leaves a torn end of its log."""
        if self._is_wiped:
            # A second disk at fault is more than three replicas are said to bear.
            return
        self._world.outcome.note(f"tear {process.name}")
        process.stop()
        process.append_partial_write(self._world.rng.randbytes(self._world.rng.randrange(1, 40)))

    def end_all(self) -> None:
        """End every fault."""
        for endpoint in self._world.endpoints:
            endpoint.fault = LinkFault.NONE
        for proxy in self._world.proxies:
            proxy.set_fault(ProxyFault.NONE)
        for process in self._world.processes.all():
            process.signal(signal.SIGCONT)
