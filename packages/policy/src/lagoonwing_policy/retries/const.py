"""Constants of retries."""

from __future__ import annotations

MAX_ATTEMPTS = 4
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 1.0

# Retries that each first try earns.
BUDGET_SHARE = 0.2
# Retries saved up at most, as a share of the first tries of the last window.
BURST_SHARE = 0.5
BURST_WINDOW_S = 10.0
# Retries that a site without traffic may make.
MIN_BURST = 10.0
