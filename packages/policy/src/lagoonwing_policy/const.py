"""Constants of the scheduler."""

from __future__ import annotations

# Bounds the work of one tick; further refusals follow in the next ticks.
MAX_REFUSALS_PER_TICK = 256
# Bypass requests that are tried in one pass over a pool.
MAX_BYPASS_TRIES = 8
# Length of a pool's bypass queue from which requests that must run alone are refused.
MAX_BYPASS_EXCLUSIVE = 64
# Interval between sweeps over blocked members and all pools.
SWEEP_INTERVAL_S = 0.05
# Requests are kept this long without a route, so that an endpoint restart causes no refusals.
NO_ROUTE_GRACE_S = 2.0
# Generated tokens are charged in advance in chunks, to avoid a queue update per token.
CHARGE_CHUNK_TOKENS = 32
