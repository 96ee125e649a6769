"""Constants of quarantine."""

from __future__ import annotations

# Endpoints that may die of one request over all entry hosts.
MAX_CRASHES = 2
# Deaths in one failure domain within this time may have one cause outside the requests.
CORRELATION_WINDOW_S = 1.0
# Endpoints of a domain that die together until the domain is held for the cause.
MIN_CORRELATED_CRASHES = 3
# Fingerprints whose deaths are remembered until the durable state holds them.
MAX_LOCAL_CRASHES = 8192
# Time for which a death that is not in the durable state is remembered.
LOCAL_CRASH_TTL_S = 300.0
