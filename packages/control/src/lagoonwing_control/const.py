"""Limits and durations of the durable state."""

from __future__ import annotations

# How long the answer of a change is kept under its change id.
CHANGE_ID_RETENTION_MS = 24 * 3600 * 1000
# How far a change id's time may lie ahead of the accepted time.
CHANGE_ID_AHEAD_MS = 10 * 60 * 1000
MAX_CHANGE_IDS = 100_000

# How long a claim and its answer are kept after their last change.
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
DEATHS_UNTIL_QUARANTINE = 2

HISTORY_CHANGES = 10_000
PAGE_ENTITIES = 500

# How long a follower may take new work on the strength of one contact with the leader.
CONFIGURATION_LEASE_S = 3.0
ALLOTMENT_LEASE_S = 2.5
# Bound on how much faster one host's clock may run than another's.
CLOCK_DRIFT = 0.04
# After this silence from a leader a replica says that it knows none.
LEADER_SILENCE_S = 1.5
TICK_S = 0.1
# A tick later than this means that the process was paused.
PAUSE_S = 0.5

PROPOSE_TIMEOUT_S = 3.0
BARRIER_TIMEOUT_S = 2.0
FORWARD_TIMEOUT_S = 4.0
MAX_BATCH_COMMANDS = 256
MAX_BATCH_BYTES = 512 * 1024
MAX_BATCHES_IN_FLIGHT = 4

MAX_GRPC_MESSAGE_BYTES = 256 * 1024
MAX_PAGE_SIZE = 500
DEFAULT_PAGE_SIZE = 100
WATCH_QUEUE_EVENTS = 10_000
MAX_OPERATOR_WATCHES = 64
