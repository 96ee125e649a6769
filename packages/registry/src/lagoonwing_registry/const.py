"""Periods and limits of the registry."""

from __future__ import annotations

# Time for a proposal before the caller is told that its result is not known.
PROPOSE_TIMEOUT_S = 2.5
FORWARD_TIMEOUT_S = 2.8
# Time between two tries to find the leader, and the tries.
LEADER_RETRY_S = 0.15
LEADER_TRIES = 14
READ_TIMEOUT_S = 0.8
READ_WAIT_S = 0.02
# Period in which a replica tells the leader whom it has heard.
HEARD_INTERVAL_S = 0.4
# Announcements that an endpoint may miss before it counts as lost.
MISSED_ANNOUNCEMENTS = 3.0
# Time that a new leader waits for news of every endpoint before it marks any as lost.
LEADER_GRACE_S = 4.0
# Period of the pushes that show gateways how current a replica is, and carry loads.
CURRENT_INTERVAL_S = 0.2
# Silence after which a gateway's subscription is dropped.
GATEWAY_SILENCE_S = 2.5
PLACEMENT_INTERVAL_S = 0.25
# Age up to which a replica accepts subscriptions.
MAX_SUBSCRIBE_AGE_S = 0.9
