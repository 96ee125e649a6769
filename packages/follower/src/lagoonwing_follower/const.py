"""Intervals, timeouts and limits of following the replicated state."""

from __future__ import annotations

CONFIGURATION_LEASE_S = 3.0

CONTACT_INTERVAL_S = 0.5
CONTACT_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.1
CANCEL_RETRY_S = 0.2

# For this long after a call timed out on an open channel, the replica is reached through others.
UNRESPONSIVE_S = 5.0

# Voters are probed once no leader has answered for this long.
LEADER_TIMEOUT_S = 0.8
PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 0.5
# Evidence from a probe is valid for this long.
EVIDENCE_MAX_AGE_S = 1.0
# A voter counts as down once it has refused connections for this long without a gap, so that
# no leader can still act on what the voter acknowledged before.
DOWN_TIMEOUT_S = 1.5
# Refusals further apart than this start a new series, as the voter may have been up in between.
MAX_REFUSAL_GAP_S = 1.0

RELIST_JITTER_S = 1.0
LIST_TIMEOUT_S = 5.0
WATCH_TIMEOUT_S = 2.0
MAX_PENDING_RELEASES = 10_000
REVISION_FILE = "applied-revision"
