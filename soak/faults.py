"""Fault injection from outside the processes: signals, network links and disks."""

from __future__ import annotations

import asyncio
import itertools
import signal

from lagoonwing_fakes.platform import SystemProcess
from soak.const import MAX_CUT_S, MAX_PAUSE_S, MIN_PAUSE_S
from soak.endpoints import PAUSES, LinkFault, SoakEndpoint
from soak.gateway_cuts import GatewayCut
from soak.models import SoakContext
from soak.proxy import Proxy, ProxyFault


class Faults:
    """Injects faults and restarts processes that have exited."""

    def __init__(self, context: SoakContext) -> None:
        self._context = context
        self._is_wiped = False

    async def async_inject(self) -> None:
        """Inject random faults in sequence; the run starts two of these loops."""
        while True:
            await asyncio.sleep(self._context.rng.uniform(0.2, 2.0))
            match self._context.rng.randrange(10):
                case 0 | 1:
                    await self._async_signal(
                        self._context.rng.choice(self._context.processes.all()), signal.SIGKILL
                    )
                case 2:
                    await self._async_pause(self._context.rng.choice(self._context.processes.all()))
                case 3:
                    await self._async_signal(
                        self._context.rng.choice(self._context.processes.gateways), signal.SIGTERM
                    )
                case 4 | 5 | 6:
                    await self._async_fault_link(self._context.rng.choice(self._context.proxies))
                case 7:
                    await self._async_tear_log(
                        self._context.rng.choice(self._context.processes.registries)
                    )
                case 8:
                    await self._async_wipe(
                        self._context.rng.choice(self._context.processes.registries)
                    )
                case _:
                    await self._async_fault_endpoint(
                        self._context.rng.choice(self._context.endpoints)
                    )

    async def _async_signal(self, process: SystemProcess, number: signal.Signals) -> None:
        """Terminate or kill a process; the supervisor restarts it."""
        self._context.outcome.record_fault(f"{number.name} {process.name}")
        process.signal(number)
        await asyncio.sleep(self._context.rng.uniform(0.0, 1.0))

    async def async_supervise(self) -> None:
        """Restart processes that have exited, as the platform does."""
        while True:
            await asyncio.sleep(self._context.rng.uniform(0.05, 0.6))
            for process in self._context.processes.all():
                if process.popen is not None and process.popen.poll() is not None:
                    process.start()

    async def _async_pause(self, process: SystemProcess) -> None:
        """Suspend a process for a random time."""
        self._context.outcome.record_fault(f"SIGSTOP {process.name}")
        loop = asyncio.get_running_loop()
        frozen_at = loop.time()
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self._context.rng.uniform(0.2, 3.0))
        process.signal(signal.SIGCONT)
        if process.popen is not None:
            self._context.notices.frozen[process.popen.pid].append((frozen_at, loop.time()))

    async def _async_wipe(self, process: SystemProcess) -> None:
        """Delete the data of one replica, at most once a run, while all others are running."""
        others = [item for item in self._context.processes.registries if item is not process]
        if self._context.accepted_version == 0 or any(item.popen is None for item in others):
            return
        if any(item.popen is not None and item.popen.poll() is not None for item in others):
            return
        if self._is_wiped:
            return
        self._is_wiped = True
        self._context.outcome.record_fault(f"wipe {process.name}")
        process.stop()
        process.erase_data()

    async def _async_fault_endpoint(self, endpoint: SoakEndpoint) -> None:
        """Inject a fault into the connections of an endpoint for a random time."""
        fault = self._context.rng.choice([item for item in LinkFault if item is not LinkFault.NONE])
        self._context.outcome.record_fault(f"{fault.value} {endpoint.endpoint_id}")
        if fault is LinkFault.CRASH:
            endpoint.crash()
            return
        endpoint.set_fault(fault)
        await asyncio.sleep(self._context.rng.uniform(0.2, 3.0))
        endpoint.set_fault(LinkFault.NONE)

    async def async_pause_engines(self) -> None:
        """Pause all engines, then a single one, in each way for about a second, repeatedly."""
        engines = [item for item in self._context.endpoints if item.is_engine]
        for count, fault in itertools.cycle(itertools.product((len(engines), 1), PAUSES)):
            paused = self._context.rng.sample(engines, count)
            for endpoint in paused:
                self._context.outcome.record_fault(f"{fault.value} {endpoint.endpoint_id}")
                endpoint.set_fault(fault)
            await asyncio.sleep(self._context.rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            for endpoint in paused:
                endpoint.set_fault(LinkFault.NONE)
            await asyncio.sleep(self._context.rng.uniform(0.2, 1.0))

    async def async_cut_gateways(self) -> None:
        """Cut gateways off from all endpoints, one or all, for some seconds, repeatedly."""
        context = self._context
        assert context.cuts is not None
        while True:
            await asyncio.sleep(context.rng.uniform(0.3, 2.0))
            gateways = context.processes.gateways
            kind = context.rng.choice(list(GatewayCut))
            for process in context.rng.sample(gateways, context.rng.choice((1, 1, len(gateways)))):
                if process.popen is not None:
                    context.outcome.record_fault(f"cut off ({kind.value}) {process.name}")
                    context.cuts.cut(process.popen.pid, kind)
            await asyncio.sleep(context.rng.uniform(0.5, MAX_CUT_S))
            context.cuts.heal()

    async def _async_fault_link(self, proxy: Proxy) -> None:
        """Inject a fault into the peer links of a replica for a random time."""
        fault = self._context.rng.choice(
            [item for item in ProxyFault if item is not ProxyFault.NONE]
        )
        self._context.outcome.record_fault(f"{fault.value} {proxy.address}")
        proxy.set_fault(fault)
        await asyncio.sleep(self._context.rng.uniform(0.2, 4.0))
        proxy.set_fault(ProxyFault.NONE)

    async def _async_tear_log(self, process: SystemProcess) -> None:
        """Kill a replica and append a partial record to its log, as after a torn write."""
        if self._is_wiped:
            # Three replicas tolerate one damaged disk, not two.
            return
        self._context.outcome.record_fault(f"tear {process.name}")
        process.stop()
        process.append_partial_write(
            self._context.rng.randbytes(self._context.rng.randrange(1, 40))
        )

    def clear_all(self) -> None:
        """Clear all faults and resume suspended processes."""
        if self._context.cuts is not None:
            self._context.cuts.heal()
        for endpoint in self._context.endpoints:
            endpoint.set_fault(LinkFault.NONE)
        for proxy in self._context.proxies:
            proxy.set_fault(ProxyFault.NONE)
        for process in self._context.processes.all():
            process.signal(signal.SIGCONT)
