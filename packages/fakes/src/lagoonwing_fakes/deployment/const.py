"""Ports, keys and timeouts of a deployment on loopback."""

from __future__ import annotations

PEER_PORT = 7400
REPLICA_PORT = 7402
CALLER_PORT = 8080
ANNOUNCE_PORT = 7401
METRICS_PORT = 9090
OPERATOR_PORT = 7500
ENDPOINT_PORT = 8000

SYSTEM_KEY = "deployment-system-key-of-32-bytes"
ENDPOINT_KEY = "deployment-endpoint-key"
OPERATOR_KEY = "deployment-operator-key"

FAILURE_DOMAINS = ("domain-a", "domain-b", "domain-c")

# First values of the last octet of loopback addresses.
FIRST_HOST_OCTET = 11
FIRST_ENDPOINT_OCTET = 50

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
PROBE_TIMEOUT_S = 1.0
