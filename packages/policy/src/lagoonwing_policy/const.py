"""Constants of the scheduler."""

from __future__ import annotations

# Queued requests refused in one tick at most; the rest follow in the next.
MAX_REFUSALS_PER_TICK = 256
# Retries and requests that must run alone that are tried in one pass over a pool.
MAX_BYPASS_TRIES = 8
# Requests that must run alone and may wait in one pool.
MAX_BYPASS_EXCLUSIVE = 64
# Time between sweeps over the members and pools that wait.
SWEEP_INTERVAL_S = 0.05
# Time for which requests are kept while no route exists, so that a restart refuses nothing.
NO_ROUTE_GRACE_S = 2.0
# Generated tokens charged ahead at once, so that not each token costs a change of the queue.
CHARGE_CHUNK_TOKENS = 32
