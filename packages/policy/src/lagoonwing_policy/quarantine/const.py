"""Constants of quarantine."""

from __future__ import annotations

# Endpoints that may die of one request over all entry hosts.
MAX_DEATHS = 2
# Deaths in one failure domain within this time may have one cause outside the requests.
CORRELATION_S = 1.0
# Endpoints of a domain that die together until the domain is held for the cause.
CORRELATED_DEATHS = 3
# Fingerprints whose deaths are remembered until the durable state holds them.
MAX_LOCAL_DEATHS = 8192
# Time for which a death that is not in the durable state is remembered.
LOCAL_DEATH_LIFE_S = 300.0
