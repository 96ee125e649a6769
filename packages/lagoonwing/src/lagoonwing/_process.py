"""Life of a process: set up, run until a signal, drain, unload."""

from __future__ import annotations

import asyncio
import signal
from typing import Protocol

from lagoonwing.const import VERSION
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.runtime import Runtime
from lagoonwing_core.settings import HostSettings, Role


class RoleProcess(Protocol):
    """What a role adds to the life of a process."""

    runtime: Runtime

    async def async_drain(self) -> None:
        """Finish what runs, within the grace that the settings give."""


async def async_run_process(settings: HostSettings, key: bytes) -> bool:
    """Run one process until SIGTERM or SIGINT.

    Args:
        settings: Checked settings.
        key: Key shared by the system's processes.

    Returns:
        Whether the process came up and stopped in order.
    """
    process = _build(settings, key)
    stop = _stop_on_signal()
    try:
        await process.runtime.async_setup()
    except OSError as error:
        log_event(EventCode.PROCESS_STOPPED, reason=error)
        return False
    log_event(
        EventCode.PROCESS_STARTED,
        version=VERSION,
        address=settings.address,
        port=settings.peer_port,
    )
    await stop.wait()
    log_event(EventCode.PROCESS_STOPPING, reason="signal")
    await process.async_drain()
    await process.runtime.async_unload()
    log_event(EventCode.PROCESS_STOPPED, reason="drained")
    return True


def _stop_on_signal() -> asyncio.Event:
    """Return an event that the first signal sets; later ones change nothing.

    A second signal must not cut what still runs within the grace.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # Settings are read at the start; without a handler the signal would end the process.
    loop.add_signal_handler(signal.SIGHUP, _note_reload)
    return stop


def _note_reload() -> None:
    """Log that new settings come in force at the next start."""
    log_event(EventCode.SETTINGS_RELOADED, effect="at the next start")


def _build(settings: HostSettings, key: bytes) -> RoleProcess:
    """Return the process of the role in the settings."""
    # Each role imports only its own packages, so that a control replica loads no entry code.
    match settings.role:
        case Role.ENTRY:
            from lagoonwing._entry_role import build_entry

            return build_entry(settings, key)
        case Role.CONTROL:
            from lagoonwing._control_role import build_control

            return build_control(settings, key)
        case Role.GATEWAY:
            from lagoonwing._gateway_role import build_gateway

            return build_gateway(settings, key)
        case Role.REGISTRY:
            from lagoonwing._registry_role import build_registry

            return build_registry(settings, key)
