"""Limits and timeouts of the streams between processes."""

from __future__ import annotations

PROTOCOL_VERSION = 1

FRAME_HEADER_BYTES = 4
MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_HANDSHAKE_FRAME_BYTES = 1024
MAX_WRITE_BUFFER_BYTES = 32 * 1024 * 1024
# Work on frames of one peer before other tasks of the loop get their turn; each frame counts as
# its bytes and this.
MAX_TURN_BYTES = 256 * 1024
FRAME_WORK_BYTES = 4 * 1024
# Calls of one peer whose replies haven't been sent; each counts as its bytes and its task.
MAX_OPEN_CALL_BYTES = 64 * 1024 * 1024
CALL_TASK_BYTES = 6 * 1024

NONCE_BYTES = 32
HANDSHAKE_TIMEOUT_S = 2.0
# Less than the 1 s after which TCP first retransmits a lost SYN.
CONNECT_TIMEOUT_S = 0.4

RECONNECT_MIN_S = 0.1
RECONNECT_MAX_S = 1.0

# Keep-alive interval: a live peer sends at least this often.
PING_INTERVAL_S = 0.5
# Some connections die without a reset and are only detected by this timeout.
SILENCE_TIMEOUT_S = 1.8
