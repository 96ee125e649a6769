"""Component lifecycle of a process: registration, ordered setup and reverse unload."""

from __future__ import annotations

from typing import Protocol

from lagoonwing_core.clock import Clock, LoopClock
from lagoonwing_core.events import EventCode, log_event


class Component(Protocol):
    """Part of a process with an explicit lifecycle."""

    name: str

    async def async_setup(self) -> None:
        """Start the component."""

    async def async_unload(self) -> None:
        """Stop the component and release its resources."""


class Runtime:
    """Sets up components in registration order and unloads them in reverse order."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock: Clock = clock or LoopClock()
        self._registered: list[Component] = []
        self._running: list[Component] = []

    def register(self, component: Component) -> None:
        """Register a component; call before `async_setup`."""
        self._registered.append(component)

    async def async_setup(self) -> None:
        """Set up all components; if one fails, unload those already running."""
        for component in self._registered:
            try:
                await component.async_setup()
            except Exception as error:
                log_event(EventCode.COMPONENT_FAILED, component=component.name, error=error)
                await self.async_unload()
                raise
            self._running.append(component)

    async def async_unload(self) -> None:
        """Unload all running components in reverse order."""
        while self._running:
            component = self._running.pop()
            try:
                await component.async_unload()
            except Exception as error:
                # A failing component must not prevent the others from releasing their resources.
                log_event(EventCode.COMPONENT_FAILED, component=component.name, error=error)
