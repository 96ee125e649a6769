"""Default timings and limits of the replicated log."""

from __future__ import annotations

HEARTBEAT_S = 0.15
ELECTION_MIN_S = 0.75
ELECTION_MAX_S = 1.2
ELECTION_RETRY_MIN_S = 0.1
ELECTION_RETRY_MAX_S = 0.4

# Maximum relative clock drift between a replica and real time.
CLOCK_DRIFT_RATIO = 0.02

MAX_COMMAND_BYTES = 1024 * 1024
MAX_MESSAGE_ENTRIES = 512
MAX_MESSAGE_BYTES = 256 * 1024
MAX_INFLIGHT_MESSAGES = 8
SNAPSHOT_CHUNK_BYTES = 256 * 1024
MAX_SNAPSHOT_BYTES = 512 * 1024 * 1024
SNAPSHOT_RETRY_S = 0.5

VOTER_COUNT = 3
VOTER_LOST_S = 3.0
LEARNER_LAG_ENTRIES = 256

# Encoded size of an entry in a message, excluding its payload.
ENTRY_OVERHEAD_BYTES = 24
