"""Settings of the replicated log's core."""

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
    """Timings and limits; every replica of a log must have the same.

    Attributes:
        heartbeat_s: Seconds between the leader's messages to an idle peer.
        election_min_s: Seconds after a leader's message during which a replica neither votes
            nor starts an election.
        election_max_s: Most seconds until a replica without a leader starts an election, and
            until a leader without a quorum steps down.
        election_retry_min_s: Least seconds until a failed election is tried again.
        election_retry_max_s: Most seconds until a failed election is tried again.
        clock_drift_ratio: Largest difference in rate between a replica's clock and real time.
        max_message_entries: Entries in one message.
        max_message_bytes: Payload in one message, unless a single entry is larger.
        max_inflight_messages: Messages with entries that a peer may leave unanswered.
        snapshot_chunk_bytes: State in one message.
        snapshot_retry_s: Seconds after which an unanswered part of a snapshot is sent again.
        voter_count: Voters that the leader strives for.
        voter_lost_s: Seconds of silence after which a voter is replaced by a learner.
        learner_lag_entries: Entries that a learner may lack and still count as caught up.
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
        """Seconds on the leader's clock for which a quorum's answers let it act.

        The leader's clock may run slow and a voter's fast, each by the drift ratio; the lease
        still ends before the voter's promise does.
        """
        ratio = (1.0 - self.clock_drift_ratio) / (1.0 + self.clock_drift_ratio)
        return self.election_min_s * ratio
