"""Settings: JSON with comments, checked by schema before anything starts."""

from __future__ import annotations

from lagoonwing_core.settings._load import check_settings, load_settings
from lagoonwing_core.settings._reference import list_settings, render_settings
from lagoonwing_core.settings.errors import SettingsError
from lagoonwing_core.settings.models import (
    ControlSettings,
    EntrySettings,
    GatewaySettings,
    HostSettings,
    LimitPolicy,
    LogLevel,
    OperatorSettings,
    PeerSettings,
    QueuePolicy,
    RegistrySettings,
    ReplicaKind,
    ReplicaSettings,
    Role,
    RoutePolicy,
)

__all__ = [
    "ControlSettings",
    "EntrySettings",
    "GatewaySettings",
    "HostSettings",
    "LimitPolicy",
    "LogLevel",
    "OperatorSettings",
    "PeerSettings",
    "QueuePolicy",
    "RegistrySettings",
    "ReplicaKind",
    "ReplicaSettings",
    "Role",
    "RoutePolicy",
    "SettingsError",
    "check_settings",
    "list_settings",
    "load_settings",
    "render_settings",
]
