"""Intervals, timeouts and size limits of the membership protocol."""

from __future__ import annotations

TICK_S = 0.1
RENEW_AFTER_S = 0.8

# An endpoint must receive no new work 3 s after its last announcement; the remaining 0.2 s
# covers the dispatch itself.
RECORD_TTL_S = 2.8
# Renewals are sent in batches. RENEW_AFTER_S plus this interval is below PULL_AFTER_S, so that
# renewals arriving on time trigger no pull.
RENEWAL_BATCH_S = 0.4
PULL_AFTER_S = 1.6
PULL_INTERVAL_S = 0.3
DIGEST_PERIOD_S = 1.0
# Entries announced longer ago are left out of the checksum and of periodic digests.
DIGEST_MAX_AGE_S = 30.0
TOMBSTONE_TTL_S = 3600.0

PROBE_PERIOD_S = 0.3
PROBE_TIMEOUT_S = 0.15
# An indirect probe takes four one-way delays; a direct probe takes two.
PROBE_END_S = 0.55
SUSPICION_TIMEOUT_S = 1.0
LOST_PROBE_PERIOD_S = 1.0
INDIRECT_PROBES = 2
LOST_HOST_RETENTION_S = 600.0
HOST_UPDATE_TRANSMISSIONS = 6

# After a longer gap between two calls, input may have been queued in the socket.
INPUT_GAP_S = 0.15
# After a longer gap, acks of this host's probes could not be read in time.
PAUSE_GAP_S = 0.5
# Time after a gap during which queued input may still be read.
PAUSE_SETTLE_S = 0.3
JOIN_GRACE_S = 1.0

# Gossip of cell summaries between the cells' representatives.
CELL_GOSSIP_PERIOD_S = 3.0
CELL_SUMMARY_PERIOD_S = 20.0
CELL_REFRESH_S = 60.0
CELL_SUMMARY_TTL_S = 180.0
CELL_EXCERPT_PERIOD_S = 5.0
REPRESENTATIVES = 2
# Cells with the most free slots per capacity row that are sent to non-representative hosts.
EXCERPT_CELLS_PER_ROW = 4
# Change of free slots, as a fraction of a row's slots, that triggers a new summary before
# CELL_REFRESH_S has passed.
SIGNIFICANT_CHANGE_RATIO = 0.1
MAX_CELLS = 512
MAX_ROWS_PER_CELL = 64
MAX_SUMMARIES_PER_MESSAGE = 64

MAX_RECORD_BYTES = 4096
MAX_ENDPOINTS = 4096
MAX_RENEWALS_PER_MESSAGE = 128
MAX_RECORDS_PER_MESSAGE = 12
MAX_HOST_UPDATES_PER_MESSAGE = 16
MAX_PULLS_PER_MESSAGE = 128
MAX_HOSTS = 64
MAX_EVENTS = 1000
MAX_RELAYED_PROBES = 64
