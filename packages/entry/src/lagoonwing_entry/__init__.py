"""Entry host: accepts caller requests and dispatches them to endpoints."""

from __future__ import annotations

from lagoonwing_entry._entry_host import EntryHost
from lagoonwing_entry._http_adapter import HttpEndpointAdapter
from lagoonwing_entry.models import (
    AdapterSettings,
    AnnounceServerSettings,
    CallerServerSettings,
    EntrySettings,
)

__all__ = [
    "AdapterSettings",
    "AnnounceServerSettings",
    "CallerServerSettings",
    "EntryHost",
    "EntrySettings",
    "HttpEndpointAdapter",
]
