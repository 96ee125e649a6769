"""Constants of retries."""

from __future__ import annotations

MAX_ATTEMPTS = 4
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 1.0

# Retries credited per first attempt.
BUDGET_SHARE = 0.2
# Capacity of the budget, as a share of the first attempts in a window.
BURST_SHARE = 0.5
BURST_WINDOW_S = 10.0
# Minimum capacity of the budget, which allows retries without traffic.
MIN_BURST = 10.0
