"""Periods, timeouts and bounds of membership."""

from __future__ import annotations

TICK_S = 0.1
RENEW_AFTER_S = 0.8

# An endpoint that falls silent gets no new work 3 s later; the rest covers the dispatch itself.
RECORD_LIFE_S = 2.8
# Renewals are told together; with the time between them this stays below the pull.
RENEWAL_BATCH_S = 0.4
PULL_AFTER_S = 1.6
PULL_INTERVAL_S = 0.3
DIGEST_PERIOD_S = 1.0
FLOOR_SPREAD_S = 30.0
FLOOR_LIFE_S = 3600.0

PROBE_PERIOD_S = 0.3
PROBE_TIMEOUT_S = 0.15
# An indirect probe takes four ways in place of two.
PROBE_END_S = 0.55
SUSPICION_TIMEOUT_S = 1.0
LOST_PROBE_PERIOD_S = 1.0
INDIRECT_PROBES = 2
HOST_FORGET_S = 600.0
RUMOUR_TRANSMISSIONS = 6

# Input read after a longer gap between two calls may have waited in the socket.
INPUT_GAP_S = 0.15
# After a longer gap, answers to this host's probes could not be heard in time.
PAUSE_GAP_S = 0.5
# Time after a gap within which what waited is read.
PAUSE_SETTLE_S = 0.3
JOIN_GRACE_S = 1.0

# Exchange of cells' summaries between their representatives.
CELL_GOSSIP_PERIOD_S = 3.0
CELL_SUMMARY_PERIOD_S = 20.0
CELL_REFRESH_S = 60.0
CELL_SUMMARY_LIFE_S = 180.0
CELL_ADVICE_PERIOD_S = 5.0
REPRESENTATIVES = 2
# Cells with most room that a cell's other hosts are told for each kind of work.
ADVISED_CELLS = 4
# Part by which the free slots of a row must differ to be told before the refresh.
NOTABLE_CHANGE = 0.1
MAX_CELLS = 512
MAX_ROWS_PER_CELL = 64
MAX_SUMMARIES_PER_MESSAGE = 64

MAX_RECORD_BYTES = 4096
MAX_ENDPOINTS = 4096
MAX_RENEWALS_PER_MESSAGE = 128
MAX_RECORDS_PER_MESSAGE = 12
MAX_HOST_NEWS_PER_MESSAGE = 16
MAX_PULLS_PER_MESSAGE = 128
MAX_HOSTS = 64
MAX_EVENTS = 1000
MAX_RELAYS = 64
