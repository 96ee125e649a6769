"""Periods, timeouts and bounds of membership."""

from __future__ import annotations

TICK_S = 0.1
RENEW_AFTER_S = 0.8

# An endpoint that falls silent gets no new work 3 s later; the rest covers the dispatch itself.
RECORD_LIFE_S = 2.8
PULL_AFTER_S = 1.2
PULL_INTERVAL_S = 0.3
DIGEST_PERIOD_S = 1.0
TOMBSTONE_SPREAD_S = 30.0
TOMBSTONE_LIFE_S = 3600.0

PROBE_PERIOD_S = 0.3
PROBE_TIMEOUT_S = 0.15
SUSPICION_TIMEOUT_S = 1.0
LOST_PROBE_PERIOD_S = 1.0
INDIRECT_PROBES = 2
HOST_FORGET_S = 600.0
RUMOUR_TRANSMISSIONS = 6

# A longer gap between two calls means that the process stood still.
PAUSE_GAP_S = 0.5
# Input read within this time after a pause may have waited in the socket meanwhile.
PAUSE_SETTLE_S = 0.3
JOIN_GRACE_S = 1.0

MAX_RECORD_BYTES = 4096
MAX_ENDPOINTS = 4096
MAX_RENEWALS_PER_MESSAGE = 128
MAX_RECORDS_PER_MESSAGE = 12
MAX_HOST_NEWS_PER_MESSAGE = 16
MAX_PULLS_PER_MESSAGE = 128
MAX_HOSTS = 64
MAX_EVENTS = 1000
MAX_RELAYS = 64
