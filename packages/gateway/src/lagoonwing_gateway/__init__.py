"""Reverse proxy between callers and endpoints, routing by host and path."""

from __future__ import annotations

from lagoonwing_gateway._gateway import Gateway
from lagoonwing_gateway._handover_server import HandoverServer
from lagoonwing_gateway._http_responder import HttpResponder
from lagoonwing_gateway._server_sent_events import ServerSentEvents
from lagoonwing_gateway.settings import GatewaySettings, RetryBudgetSettings

__all__ = [
    "Gateway",
    "GatewaySettings",
    "HandoverServer",
    "HttpResponder",
    "RetryBudgetSettings",
    "ServerSentEvents",
]
