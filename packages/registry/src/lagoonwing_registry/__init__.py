"""Replicated catalog service: announcements, documents, subscriptions, placement orders."""

from __future__ import annotations

from lagoonwing_registry._service import RegistryService
from lagoonwing_registry.ports import EnginePort, EngineReport, OrderOutcome
from lagoonwing_registry.settings import RegistrySettings

__all__ = ["EnginePort", "EngineReport", "OrderOutcome", "RegistryService", "RegistrySettings"]
