"""Sizes and timeouts of the soak test."""

from __future__ import annotations

REGISTRIES = 3
GATEWAYS = 2
ENDPOINTS = 4
ENGINES = 4

START_TIMEOUT_S = 30.0
MAX_ROUTING_DELAY_AFTER_DRAIN_S = 2.5
RECOVERY_S = 8.0
CALLERS = 6
DEADLINE_MS = 4_000
CALL_TIMEOUT_S = 6.0
EVENTS = 12
EVENT_PAUSE_S = 0.02

PAUSES_S = 10.0
CRASHING_PART_S = 18.0
MIN_RESTART_S = 1.0
MAX_RESTART_S = 4.0
MIN_PAUSE_S = 0.8
MAX_PAUSE_S = 1.6
# Less than the timeout of the routes, at which a gateway may abort a response.
ANSWER_TIMEOUT_S = 2.9
# Longest time for which a gateway reaches no endpoint.
MAX_CUT_S = 6.0
