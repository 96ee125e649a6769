"""Replicated control state and the services that provide access to it."""

from __future__ import annotations

from lagoonwing_control._coordinator import ControlService
from lagoonwing_control._state_machine import ControlStateMachine
from lagoonwing_control.settings import ControlSettings, OperatorToken

__all__ = [
    "ControlService",
    "ControlSettings",
    "ControlStateMachine",
    "OperatorToken",
]
