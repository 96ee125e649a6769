"""Constants of the division of capacity among entry hosts."""

from __future__ import annotations

# Share of a pool that is divided evenly, so that a host without work can start new requests
# immediately.
EVEN_SHARE = 0.1
REPORT_TTL_S = 1.0
REPORT_INTERVAL_S = 0.1
MAX_REPORT_ROWS = 4096
# Time constant with which a host's share follows its work. Requests run longer than reports take
# to arrive, so shares that followed each arrival would let two hosts use the same slot.
SHARE_SMOOTHING_S = 0.4
# Hysteresis of the shares in use: rebalancing starts above the first difference from the smoothed
# shares and ends below the second. While shares move, two hosts may use the same slot until
# running requests end.
REBALANCE_ABOVE = 0.12
REBALANCE_BELOW = 0.005
