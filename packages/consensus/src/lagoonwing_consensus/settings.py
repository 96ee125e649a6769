"""Settings of the consensus core."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_consensus.const import (
    CLOCK_DRIFT_RATIO,
    ELECTION_MAX_S,
    ELECTION_MIN_S,
    ELECTION_RETRY_MAX_S,
    ELECTION_RETRY_MIN_S,
    HEARTBEAT_S,
    LEARNER_LAG_ENTRIES,
    MAX_INFLIGHT_MESSAGES,
    MAX_MESSAGE_BYTES,
    MAX_MESSAGE_ENTRIES,
    SNAPSHOT_CHUNK_BYTES,
    SNAPSHOT_RETRY_S,
    VOTER_COUNT,
    VOTER_LOST_S,
)


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """Timings and limits; they must be identical on every replica of a log.

    Attributes:
        heartbeat_s: Interval between the leader's messages to an idle peer.
        election_min_s: Time after a leader's message during which a replica neither votes nor
            starts an election.
        election_max_s: Maximum time until a replica without a leader starts an election, and until
            a leader without a quorum steps down.
        election_retry_min_s: Minimum delay before a failed election is retried.
        election_retry_max_s: Maximum delay before a failed election is retried.
        clock_drift_ratio: Maximum relative clock drift between a replica and real time.
        max_message_entries: Maximum number of entries in one message.
        max_message_bytes: Maximum payload of one message; a single larger entry is still sent.
        max_inflight_messages: Maximum number of unacknowledged messages with entries per peer.
        snapshot_chunk_bytes: Bytes of snapshot state in one message.
        snapshot_retry_s: Time after which an unacknowledged snapshot chunk is resent.
        voter_count: Number of voters that the leader maintains.
        voter_lost_s: Time without contact after which a voter is replaced by a learner.
        learner_lag_entries: Maximum lag, in entries, of a learner that counts as caught up.
    """

    heartbeat_s: float = HEARTBEAT_S
    election_min_s: float = ELECTION_MIN_S
    election_max_s: float = ELECTION_MAX_S
    election_retry_min_s: float = ELECTION_RETRY_MIN_S
    election_retry_max_s: float = ELECTION_RETRY_MAX_S
    clock_drift_ratio: float = CLOCK_DRIFT_RATIO
    max_message_entries: int = MAX_MESSAGE_ENTRIES
    max_message_bytes: int = MAX_MESSAGE_BYTES
    max_inflight_messages: int = MAX_INFLIGHT_MESSAGES
    snapshot_chunk_bytes: int = SNAPSHOT_CHUNK_BYTES
    snapshot_retry_s: float = SNAPSHOT_RETRY_S
    voter_count: int = VOTER_COUNT
    voter_lost_s: float = VOTER_LOST_S
    learner_lag_entries: int = LEARNER_LAG_ENTRIES

    @property
    def lease_s(self) -> float:
        """Duration of the leader lease on the leader's clock, from a quorum's acknowledgement.

        The leader's clock may run slow and a voter's fast, each by the drift ratio; the lease
        still ends before the voter may vote again.
        """
        ratio = (1.0 - self.clock_drift_ratio) / (1.0 + self.clock_drift_ratio)
        return self.election_min_s * ratio
