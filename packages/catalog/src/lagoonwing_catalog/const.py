"""Limits of the catalog."""

from __future__ import annotations

# Maximum number of records before those of inactive endpoints are evicted. They are kept so that
# delayed announcements don't reactivate the endpoints.
MAX_INACTIVE_RECORDS = 4_096
PROTOCOL = "catalog"

# Time for which a crash is remembered, and the minimum left of it for a crash to be passed on.
CRASH_TTL_S = 3_600.0
MIN_REMAINING_TTL_S = 10.0
# Upper bounds of a crash ledger and of the extracts that are sent of it.
MAX_LEDGER_TRAITS = 256
MAX_CRASHES_PER_TRAIT = 16
MAX_EXTRACT_TRAITS = 64
# One in so many traits is discarded when a ledger is full.
EVICTED_SHARE = 4
# Time for which the end of a limit is remembered, so that older news of the limit don't revive it.
LIFTED_LIMIT_TTL_S = 60.0
# Time that a message between gateways and replicas takes at most, unless a link is disrupted.
MAX_MESSAGE_DELAY_S = 0.5
