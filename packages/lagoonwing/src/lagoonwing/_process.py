"""Process lifecycle: set up, run until a signal, drain, unload."""

from __future__ import annotations

import asyncio
import signal
from typing import Protocol

from lagoonwing.const import VERSION
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.runtime import Runtime
from lagoonwing_core.settings import HostSettings, Role


class RoleProcess(Protocol):
    """Process of one role."""

    runtime: Runtime

    async def async_drain(self) -> None:
        """Finish running work within the configured grace period."""


async def async_run_process(settings: HostSettings, key: bytes, file: str) -> bool:
    """Run one process until SIGTERM or SIGINT.

    Args:
        settings: Validated settings.
        key: Key shared by all processes.
        file: Path of the settings file.

    Returns:
        Whether the process started and shut down cleanly.
    """
    process = _build(settings, key, file)
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
    """Return an event that is set by the first stop signal; later signals are ignored.

    A second signal must not interrupt requests that finish within the grace period.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # Settings are only read at startup; without a handler, SIGHUP would terminate the process.
    loop.add_signal_handler(signal.SIGHUP, _on_reload_signal)
    return stop


def _on_reload_signal() -> None:
    """Log that changed settings take effect at the next start."""
    log_event(EventCode.SETTINGS_RELOADED, effect="at the next start")


def _build(settings: HostSettings, key: bytes, file: str) -> RoleProcess:
    """Return the process of the role in the settings."""
    # Import lazily, so that each role loads only its own packages.
    match settings.role:
        case Role.ENTRY:
            from lagoonwing._entry_role import build_entry

            return build_entry(settings, key)
        case Role.CONTROL:
            from lagoonwing._control_role import build_control

            return build_control(settings, key)
        case Role.GATEWAY:
            from lagoonwing._gateway_role import build_gateway

            return build_gateway(settings, key, file)
        case Role.REGISTRY:
            from lagoonwing._registry_role import build_registry

            return build_registry(settings, key, file)
