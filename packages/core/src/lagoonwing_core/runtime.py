"""Small core of a process: components register with it and are set up in order."""

from __future__ import annotations

from typing import Protocol

from lagoonwing_core.clock import Clock, LoopClock
from lagoonwing_core.events import EventCode, log_event


class Component(Protocol):
    """Part of a process with an explicit life."""

    name: str

    async def async_setup(self) -> None:
        """Start the component."""

    async def async_unload(self) -> None:
        """Stop the component and release what it holds."""


class Runtime:
    """Sets components up in the order of registration and unloads them in reverse."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock: Clock = clock or LoopClock()
        self._registered: list[Component] = []
        self._running: list[Component] = []

    def register(self, component: Component) -> None:
        """Add a component to those that are set up."""
        self._registered.append(component)

    async def async_setup(self) -> None:
        """Set up every component; unload those already up if one fails."""
        for component in self._registered:
            try:
                await component.async_setup()
            except Exception as error:
                log_event(EventCode.COMPONENT_FAILED, component=component.name, error=error)
                await self.async_unload()
                raise
            self._running.append(component)

    async def async_unload(self) -> None:
        """Unload every running component, the last one first."""
        while self._running:
            component = self._running.pop()
            try:
                await component.async_unload()
            except Exception as error:
                # One component's failure must not keep the others from releasing what they hold.
                log_event(EventCode.COMPONENT_FAILED, component=component.name, error=error)
