"""Limits, intervals and timeouts of the control service."""

from __future__ import annotations

# Retention of a change's result under its change id.
CHANGE_ID_RETENTION_MS = 24 * 3600 * 1000
# Maximum lead of a change id's timestamp over the replicated clock.
MAX_CHANGE_ID_AHEAD_MS = 10 * 60 * 1000
MAX_CHANGE_IDS = 100_000

# Retention of a claim and its answer after the last update.
CLAIM_RETENTION_MS = 24 * 3600 * 1000
MAX_CLAIMS = 200_000
MAX_CLAIM_BYTES = 64 * 1024 * 1024
MAX_STORED_ANSWER_BYTES = 256 * 1024

MAX_ID_LENGTH = 128
MAX_NAME_LENGTH = 256
MAX_VALUE_LENGTH = 16 * 1024
MAX_KEYS_PER_MEMBER = 32
MAX_ENTITIES_PER_KIND = 20_000
MAX_QUARANTINES = 4_096
QUARANTINE_DEATH_COUNT = 2

MAX_HISTORY_EVENTS = 10_000
ENTITIES_PER_PAGE = 500

# Time for which one contact with the leader permits an entry host to take new work.
CONFIGURATION_LEASE_S = 3.0
ALLOTMENT_LEASE_S = 2.5
# Maximum relative difference between the clock rates of two hosts.
MAX_CLOCK_DRIFT = 0.04
# A replica without contact for this long counts as unreachable, a leader as unknown.
CONTACT_TIMEOUT_S = 1.5
TICK_INTERVAL_S = 0.1
# A longer gap between two ticks means that the process was suspended.
PAUSE_THRESHOLD_S = 0.5

PROPOSE_TIMEOUT_S = 3.0
BARRIER_TIMEOUT_S = 2.0
FORWARD_TIMEOUT_S = 4.0
MAX_BATCH_COMMANDS = 256
MAX_BATCH_BYTES = 512 * 1024
MAX_BATCHES_IN_FLIGHT = 4

MAX_GRPC_MESSAGE_BYTES = 256 * 1024
MAX_PAGE_SIZE = 500
DEFAULT_PAGE_SIZE = 100
MAX_WATCH_QUEUE_EVENTS = 10_000
MAX_OPERATOR_WATCHES = 64
