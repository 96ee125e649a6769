"""Intervals and limits of the registry."""

from __future__ import annotations

# Time after which the result of a proposal is reported as unknown.
PROPOSE_TIMEOUT_S = 2.5
FORWARD_TIMEOUT_S = 2.8
# Interval between attempts to reach the leader, and the number of attempts.
LEADER_RETRY_INTERVAL_S = 0.15
LEADER_ATTEMPTS = 14
READ_TIMEOUT_S = 0.8
READ_POLL_INTERVAL_S = 0.02
# Interval at which replicas report received announcements to the leader.
LIVENESS_INTERVAL_S = 0.4
# Announcement intervals without an announcement after which an endpoint is lost.
MAX_MISSED_ANNOUNCEMENTS = 3.0
# Time for which a new leader collects announcements before it marks endpoints as lost.
LEADER_GRACE_S = 4.0
# Interval at which a replica pushes its freshness and the loads to gateways.
PUSH_INTERVAL_S = 0.2
# Time without a message after which a gateway's subscription or a replica's loads are dropped.
GATEWAY_TIMEOUT_S = 2.5
PLACEMENT_INTERVAL_S = 0.25
# Maximum age of a replica's state at which it accepts subscriptions.
MAX_SUBSCRIBE_AGE_S = 0.9
# Minimum interval between two pushes of known crashes, and the interval of unchanged ones.
CRASH_PUSH_INTERVAL_S = 0.1
CRASH_REFRESH_INTERVAL_S = 2.0
# Minimum interval between two pushes of named limits, and the interval of unchanged ones.
LIMIT_PUSH_INTERVAL_S = 0.05
LIMIT_REFRESH_INTERVAL_S = 2.0
# Share of a named limit that is issued; the rest is a margin for permits that are used late.
ISSUED_SHARE = 0.95
# Permits per second for an endpoint that names zero, or it could never name another limit.
MIN_PERMIT_RATE = 0.1
# Time for which unused permits are saved up; at least one permit is.
PERMIT_BURST_S = 0.25
# Interval at which wanted permits are issued and passed on.
PERMIT_INTERVAL_S = 0.02
# Time after which a demand that a gateway has not repeated is dropped.
DEMAND_TTL_S = 0.6
# Time after which a permit that has not been received is taken for lost.
PERMIT_TRANSIT_S = 0.5
# Gateways to which one gateway may hand requests over.
PEERS_PER_GATEWAY = 8
# Interval at which the gateways of a replica are repeated to the others without a change.
GATEWAYS_REFRESH_INTERVAL_S = 2.0
# Time after which the gateways of a replica that has not repeated them are dropped.
GATEWAYS_TTL_S = 5.0
# Committed documents that a replica remembers.
MAX_COMMITTED_DOCUMENTS = 256
# Issues of an invalid document that a refusal names.
MAX_NAMED_ISSUES = 5
