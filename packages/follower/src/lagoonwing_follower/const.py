"""Durations of following the durable state."""

from __future__ import annotations

CONFIGURATION_LEASE_S = 3.0

CONTACT_INTERVAL_S = 0.5
CONTACT_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.1
CANCEL_AGAIN_S = 0.2

# A replica whose open channel gave no answer is reached through others for this long.
SILENT_S = 5.0

# Replicas are probed once the leader has been silent for this long.
PROBE_AFTER_S = 0.8
PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 0.5
# What a probe found counts for this long.
EVIDENCE_MAX_AGE_S = 1.0
# A voter counts as down once it has refused connections for this long without a gap, so that
# no leader acts on what it acknowledged before.
DOWN_AFTER_S = 1.5
# Two refusals further apart than this don't count as without a gap.
REFUSAL_GAP_S = 1.0

RELIST_JITTER_S = 1.0
LIST_TIMEOUT_S = 5.0
WATCH_TIMEOUT_S = 2.0
MAX_WAITING_RELEASES = 10_000
REVISION_FILE = "applied-revision"
