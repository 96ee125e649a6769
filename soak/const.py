"""Sizes, periods and addresses of the soak."""

from __future__ import annotations

REGISTRIES = 3
GATEWAYS = 2
ENDPOINTS = 4
ENGINES = 4

PEER_PORT = 7610
CONTROL_PORT = 7611
CALLER_PORT = 7612
READY_PORT = 7613
METRICS_PORT = 7614
KEY = "soak-deployment-key-0123456789abcdef"
CALLER_KEY = "caller-key"
HOST_NAME = "soak.example"

START_TIMEOUT_S = 30.0
HEARTBEAT_S = 0.5
DRAIN_S = 2.5
DRAIN_GRACE_S = 4.0
SETTLE_S = 8.0
CALLERS = 6
CALL_TIMEOUT_S = 6.0
EVENTS = 12
EVENT_PAUSE_S = 0.02
LAYERS = 8
