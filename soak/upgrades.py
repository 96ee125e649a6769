"""Processes of two builds side by side: machines are replaced one after another, and back again."""

from __future__ import annotations

import asyncio
import random
import signal
from contextlib import suppress
from enum import Enum
from typing import TYPE_CHECKING

from lagoonwing_fakes.builds import Build
from lagoonwing_fakes.platform import Processes, SystemProcess

if TYPE_CHECKING:
    from soak.models import SoakContext

# Build that runs first unless another is named: the last landing.
DEFAULT_OLD_REVISION = "783e7fa"
# Longest time for which a process may go on after SIGTERM.
_MAX_STOP_S = 8.0
_MAX_PAUSE_S = 1.5
_MAX_AT_ONCE = 2
_ROLLBACK_SHARE = 0.4
# What a process logs of a message of a kind that its build does not know.
_UNREAD_MARK = '"reason":"Invalid value'
# Pause between two events of the engines with long streams, which outlive a start of a process.
LONG_EVENT_PAUSE_S = 0.15


def mix_builds(processes: Processes, old: Build, seed: int) -> None:
    """Let some processes, but not all, run an older build; the faults of a seed stay the same."""
    rng = random.Random(f"builds of seed {seed}")
    everything = processes.all()
    for process in rng.sample(everything, rng.randrange(1, len(everything))):
        process.build = old


def unread_messages(processes: Processes) -> list[str]:
    """Return a line for each process that closed channels because it couldn't read a message."""
    found = []
    for process in processes.all():
        lines = process.log.read_text(encoding="utf-8", errors="replace").splitlines()
        unread = [line for line in lines if _UNREAD_MARK in line]
        if unread:
            found.append(f"{process.name} couldn't read {len(unread)} messages: {unread[0]}")
    return found


class UpgradeOrder(Enum):
    """Order in which the processes are replaced."""

    REGISTRIES_FIRST = "registries first"
    GATEWAYS_FIRST = "gateways first"
    RANDOM = "at random"


class Upgrades:
    """Replaces the processes of an older build by those of the working tree."""

    def __init__(self, context: SoakContext, old: Build) -> None:
        self._context = context
        self._old = old

    def start_old(self) -> None:
        """Let all processes start with the older build."""
        for process in self._processes():
            process.build = self._old

    async def async_run(self) -> None:
        """Upgrade, sometimes going back midway, until all run the new build; then begin anew."""
        context = self._context
        while True:
            order = context.rng.choice(list(UpgradeOrder))
            context.outcome.record_fault(f"upgrade from {self._old.name}, {order.value}")
            processes = self._in_order(order)
            if context.rng.random() < _ROLLBACK_SHARE:
                part = processes[: context.rng.randrange(1, len(processes) + 1)]
                await self._async_replace(part, None)
                context.outcome.record_fault(f"rollback to {self._old.name}")
                await self._async_replace(part[::-1], self._old)
            await self._async_replace(processes, None)
            await asyncio.sleep(context.rng.uniform(0.0, _MAX_PAUSE_S))
            await self._async_replace(self._in_order(order)[::-1], self._old)

    async def async_finish_restart(self) -> None:
        """Wait until the processes that were being replaced at the end of the faults have begun."""
        with suppress(TimeoutError):
            async with asyncio.timeout(_MAX_STOP_S):
                while self._is_restarting():  # noqa: ASYNC110
                    await asyncio.sleep(0.05)

    def _is_restarting(self) -> bool:
        """Return whether a process still runs, or waits to run, another build than it was given."""
        return any(process.running_build != process.build for process in self._processes())

    def _processes(self) -> list[SystemProcess]:
        """Return all processes."""
        return self._context.processes.all()

    def _in_order(self, order: UpgradeOrder) -> list[SystemProcess]:
        """Return all processes in the order of their replacement."""
        rng, processes = self._context.rng, self._context.processes
        registries = rng.sample(processes.registries, len(processes.registries))
        gateways = rng.sample(processes.gateways, len(processes.gateways))
        match order:
            case UpgradeOrder.REGISTRIES_FIRST:
                return [*registries, *gateways]
            case UpgradeOrder.GATEWAYS_FIRST:
                return [*gateways, *registries]
            case UpgradeOrder.RANDOM:
                return rng.sample(self._processes(), len(self._processes()))

    async def _async_replace(self, processes: list[SystemProcess], build: Build | None) -> None:
        """Restart processes with a build, one or two at a time."""
        remaining = list(processes)
        while remaining:
            count = self._context.rng.choice((1, 1, _MAX_AT_ONCE))
            batch, remaining = remaining[:count], remaining[count:]
            await asyncio.gather(*(self._async_restart(process, build) for process in batch))
            await asyncio.sleep(self._context.rng.uniform(0.0, _MAX_PAUSE_S))

    async def _async_restart(self, process: SystemProcess, build: Build | None) -> None:
        """Stop a process with SIGTERM, as the platform does; the supervisor starts it again."""
        name = "the new build" if build is None else build.name
        self._context.outcome.record_fault(f"{process.name} gets {name}")
        process.build = build
        start_count = process.start_count
        process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_MAX_STOP_S):
                while process.start_count == start_count:  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
        except TimeoutError:
            process.signal(signal.SIGKILL)
