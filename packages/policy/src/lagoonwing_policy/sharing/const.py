"""Bounds of the division of capacity among entry hosts."""

from __future__ import annotations

# Part of a pool that is divided evenly, so that a host where a member turns up can start at once.
EVEN_SHARE = 0.1
REPORT_TTL_S = 1.0
NEWS_PERIOD_S = 0.1
MAX_REPORT_ROWS = 4096
# Time constant with which a host's part follows the work. Requests run on for longer than news
# takes, so parts that followed each arrival would let two hosts use the same slot.
SHARE_SMOOTHING_S = 0.4
# Shares of a pool by which a division must differ from the parts in use to move them, and at which
# the move ends. Each move lets two hosts use one slot until running requests end.
REBALANCE_ABOVE = 0.12
REBALANCE_BELOW = 0.005
