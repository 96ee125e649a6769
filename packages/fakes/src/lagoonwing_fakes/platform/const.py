"""Addresses, ports and defaults of the fake platform."""

from __future__ import annotations

ADDRESS = "127.0.0.1"
FAILURE_DOMAIN = "d-1"
HOST_NAME = "h.example"
CALLER_KEY = "key-1"
# Parts of a request's prompt, as comma-separated ID:TOKENS entries.
HEADER_PROMPT_PARTS = "X-Lagoonwing-Prompt-Prefix"
# Number of events in a stream.
EVENTS = 6

PEER_PORT = 7610
CONTROL_PORT = 7611
CALLER_PORT = 7612
READY_PORT = 7613
METRICS_PORT = 7614
SYSTEM_KEY = "stand-in-deployment-key-0123456789abcdef"
ANNOUNCE_INTERVAL_S = 0.5
DRAIN_GRACE_S = 4.0
# Loopback networks of which each deployment on a machine uses one.
NETWORK_COUNT = 250
