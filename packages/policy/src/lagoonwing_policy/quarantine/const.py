"""Constants of quarantine."""

from __future__ import annotations

# Crashes across all entry hosts after which a request is refused.
MAX_CRASHES = 2
# Crashes in one failure domain within this time may have a common cause other than requests.
CORRELATION_WINDOW_S = 1.0
# Crashes in one window from which the failure domain is assumed to be the cause.
MIN_CORRELATED_CRASHES = 3
# Fingerprints for which crashes are kept locally until the replicated state holds them.
MAX_LOCAL_CRASHES = 8192
# Time for which a crash is kept that is not in the replicated state.
LOCAL_CRASH_TTL_S = 300.0
