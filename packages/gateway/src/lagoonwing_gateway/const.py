"""Intervals, limits and weights of the gateway."""

from __future__ import annotations

# Maximum age of the followed replica's state before the gateway switches to another replica.
MAX_SOURCE_AGE_S = 0.9
# Time without a message from the followed replica before the gateway switches to another one.
SOURCE_TIMEOUT_S = 0.7
SUBSCRIBE_TIMEOUT_S = 0.5
FOLLOW_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 0.2
# Time for which the last load summary stays valid.
LOAD_SUMMARY_TTL_S = 1.5

# Number of gateways assumed to share the retry budget until a replica reports the actual number.
# Too low a number would exceed the shared budget.
INITIAL_GATEWAY_COUNT = 32

CONNECT_TIMEOUT_S = 0.6
# Idle connections are closed after this time, since endpoints close them on their own.
IDLE_CONNECTION_TTL_S = 4.0
MAX_IDLE_CONNECTIONS = 32
# Connection attempts per request to endpoints that have not been sent anything.
MAX_CONNECT_ATTEMPTS = 4

# Duration of an endpoint's first suspicion, and upper bound for repeated ones.
MIN_SUSPICION_S = 1.5
MAX_SUSPICION_S = 8.0
# The suspicion duration is reset after this time without another failure.
SUSPICION_RESET_S = 15.0
# Time for which progress here outweighs that another gateway suspects an endpoint.
OWN_PROGRESS_S = 0.25
# Time for which an endpoint is avoided after it refused a request for lack of memory or layers.
AVOIDANCE_S = 0.4

# Weight of a failed request, and weight added once the same request was served elsewhere: then the
# endpoint was the cause, not the request.
FAILURE_WEIGHT = 0.5
SERVED_ELSEWHERE_WEIGHT = 0.5
# Sum of the weights within the window, and their share of all samples, above which an endpoint is
# suspected: two requests that others served, or three. Engines that failed 0.4 of their requests
# kept getting more of them while only failures in a row counted.
MIN_FAILURE_WEIGHT = 1.5
FAILING_SHARE = 0.25
FAILURE_WINDOW_S = 10.0
# Failures of an endpoint within this time count as one: when another endpoint crashes, a sound one
# ends all streams through both at the same moment.
FAILURE_BURST_S = 0.3
MAX_FAILURE_SAMPLES = 64
# Time for which this gateway alone avoids an endpoint after one failed request.
FAILED_REQUEST_AVOIDANCE_S = 0.4
# Entries of a failure domain whose last request failed, at least and as FAILING_SHARE of those that
# are known, from which requests prefer to enter elsewhere, or else where one was served lately.
MIN_FAILED_ENTRIES = 2
# Time since the last success within which an entry of such a domain is preferred all the same.
RECENT_SUCCESS_S = 5.0
# Share of a service's endpoints above which a gateway keeps suspicions that rest on failed requests
# to itself: then its requests or its network are the likely cause.
MAX_REPORTED_SHARE = 0.34

# Interval between checks for silent streams.
WATCH_INTERVAL_S = 0.03
# Event loop delay above which a log event is written.
LOOP_DELAY_WARNING_S = 0.04
# Time without events through an endpoint before it is probed with a connection attempt: a multiple
# of the usual pause of the stream's path within these bounds. With 0.08 s alone, each pause of a
# slower path made every gateway connect to all of its endpoints; with twice the pause, irregular
# pauses still caused 1.3 probes a request. A crash on a path with pauses of 0.1 s is found within
# 0.3 s.
PROBE_SILENCE_S = 0.08
MAX_PROBE_SILENCE_S = 0.4
PROBE_SILENCE_PAUSES = 2.5
# Pause that is assumed between the first two events.
INITIAL_PAUSE_S = 0.1
# Smoothing factor of the moving average of a path's pauses.
PAUSE_SMOOTHING = 0.3
PROBE_TIMEOUT_S = 0.12
# A single packet may be lost, so an endpoint is down only if several attempts time out.
PROBE_ATTEMPTS = 2
MIN_PROBE_INTERVAL_S = 0.5
# Endpoints to which connections are compared with the refused one of another.
COMPARED_ENDPOINTS = 4
# Endpoints of a service that are probed first when one has failed, and at most.
REACH_SAMPLE = 2
MAX_REACH_PROBES = 8
REACH_ANSWER_TIMEOUT_S = 0.5
# Time after which the others are probed as well, and the time for which a failed request waits for
# the result before it is sent again.
REACH_HEDGE_S = 0.15
REACH_SETTLE_S = 0.1
# Time for which a service that was found reachable is not examined again, and the time for which an
# answer to any request shows that it is.
REACH_MEMORY_S = 1.0
REACH_ANSWER_MEMORY_S = 0.2
# Time without an answer of any endpoint of a service that owes one until the service is examined.
SERVICE_SILENCE_S = 0.8
# Interval at which an unreachable service is probed, the probes in a row that must find an endpoint
# before it counts as reached, and the time after that within which another cut doubles them.
REACH_PROBE_INTERVAL_S = 0.25
MIN_REACH_SUCCESSES = 2
REACH_FLAP_WINDOW_S = 10.0
# Time without events after which a stream is resumed on another path, if there is one. Healthy
# endpoints may be silent for about a second; callers leave after two.
STREAM_STALL_TIMEOUT_S = 1.2
# Interval at which another path is looked for while a path stays silent.
SILENCE_RECHECK_INTERVAL_S = 0.2
# Consecutive failed calls to an endpoint after which it is suspected.
MAX_CONSECUTIVE_FAILURES = 3
# Response time after which a repeatable call is sent to another endpoint, as a share of the
# route's latency objective.
CALL_RETRY_TIMEOUT_SHARE = 0.9
MIN_CALL_RETRY_TIMEOUT_S = 0.2
# Margin before a deadline that is reserved for delivering the response to the caller.
DEADLINE_MARGIN_S = 0.03
# Minimum time left before the deadline for a request to be sent.
MIN_TIME_TO_SEND_S = 0.05

# Status of an endpoint that is not the intended one or lacks the requested layers.
MISDIRECTED_STATUS = 421
# Lowest status after which another endpoint may succeed.
FIRST_FAILURE_STATUS = 500

# Time after the last message of a replica for which the others count the loads that it reported.
REPLICA_LOAD_TTL_S = 2.5
# Mean age of the reports in a load summary when it arrives: half an interval each for reports of
# gateways and for pushes of the replica, and about another half for gateways of other replicas.
LOAD_REPORT_DELAY_S = 0.25
# Time of unreported work beyond which a gateway doesn't extrapolate, e.g. when it is cut off.
MAX_UNREPORTED_S = 1.5
# Weight of own starts above what the reported rate explains: one gateway is a small sample of all.
OWN_SAMPLE_SHARE = 0.5
# Weight of an own unreported request at an endpoint against the random part of its turn, of mean 1.
OWN_TURN_WEIGHT = 2.0
# Filling below which nothing is drawn: the turns of endpoints would exceed the range of numbers.
MIN_FILLED_LOAD = 1e-9
# Time over which started work is counted for load reports, in buckets.
STARTED_RATE_WINDOW_S = 1.0
STARTED_BUCKET_S = 0.02
# Time for which reported transfers on a link may precede the own starts that they explain, and the
# time within which one own start is due at the reported rate if it is no evidence of a change.
EXPLAINED_TRANSFERS_S = 1.0
MAX_EXPLAINED_TRANSFERS_S = 5.0
# Time until a missing layer begins to load, and the random part of the time to return after it.
REPAIR_DELAY_S = 0.5
REPAIR_JITTER_S = 1.0
# Cost of a request of unknown size: a call, or a stream of a service without published figures.
CALL_COST = 16.0
# Time without events after which callers of streams disconnect: the longest of this time and of
# these multiples of the route's objective and of its pause objective.
CALLER_EVENT_TIMEOUT_S = 2.0
EVENT_TIMEOUT_OBJECTIVES = 4.0
EVENT_TIMEOUT_PAUSES = 8.0
# Rank of streams of which the caller has a part, and the time for which they wait; callers leave
# after it.
STARTED_STREAM_RANK = -1
STARTED_STREAM_WAIT_S = 2.0
# Time for which a request waits for a permit, as a share of its objective: what the leader does not
# promise in that time is refused, as limits last longer than callers wait.
PERMIT_WAIT_SHARE = 0.7
# Waiting requests that are tried when capacity may have become free: a small one may start where
# the first one doesn't fit.
MAX_ADMISSION_CANDIDATES = 4
# Interval at which waiting requests are tried without an event: estimated queues drain with time.
RECHECK_INTERVAL_S = 0.1
# Share of the remaining time up to which callers honour Retry-After.
MAX_RETRY_AFTER_SHARE = 1 / 3
# Minimum Retry-After for refused callers, and its random part.
RETRY_AFTER_S = 0.3
RETRY_AFTER_JITTER_S = 0.6
# Typical time from the start of a gateway until it has received the configuration.
TYPICAL_STARTUP_S = 2.0
# Time after the start for which requests are held until the configuration arrives.
STARTUP_HOLD_S = 4.0
# Maximum time a request is held for the first configuration, absolute and as a share of the
# caller's time budget.
MAX_STARTUP_WAIT_S = 2.5
STARTUP_WAIT_SHARE = 0.5
# Calls in flight at an endpoint, as a multiple of its slots, at which it gets no further calls.
CALL_OVERLOAD_FACTOR = 2.0
# Cost of sending a call to another failure domain, in calls in flight per slot.
CROSS_DOMAIN_CALL_COST = 0.15

# Endpoint crashes after which requests with a trait are quarantined, unless a request with the
# trait was served since, and the time without another crash until they are tried again.
MAX_CRASHES = 3
QUARANTINE_S = 600.0
# Number of crashes, and time that they must span, for a trait that was served before the first one.
MAX_CRASHES_AFTER_SERVICE = 5
MIN_CRASH_SPAN_AFTER_SERVICE_S = 3.0
SERVICE_MEMORY_S = 60.0
# Requests whose first crash is kept: further crashes of one request say no more about its parts.
MAX_CRASHED_REQUESTS = 512
# Traits that were served this shortly before a crash are not associated with it.
RECENT_SERVICE_S = 2.0
MAX_SERVED_TRAITS = 4_096
# Time after a trait's first crash within which other gateways report that they have served it.
CRASH_SETTLE_S = 0.8
# Endpoints lost within this time that are taken for one event with a common cause: if this share of
# a few was lost in one failure domain, or if less than that share of many was lost under one trait.
MASS_LOSS_WINDOW_S = 0.15
DOMAIN_LOSS_ENDPOINTS = 3
DOMAIN_LOSS_SHARE = 0.8
MASS_LOSS_ENDPOINTS = 5
MASS_LOSS_SHARE = 0.4
# Time for which a request has been writing its answer when it no longer counts as the cause of a
# crash.
MAX_WRITING_BEFORE_CRASH_S = 0.5
# Time to find out that an endpoint has crashed before its request is sent elsewhere.
CRASH_CONFIRM_TIMEOUT_S = 0.05
# Minimum interval between two extracts of the crash ledger, and the interval of unchanged ones.
CRASH_PUSH_INTERVAL_S = 0.1
CRASH_REFRESH_INTERVAL_S = 2.0
# Prompt parts of a request that are considered at most.
MAX_PROMPT_PARTS = 32
# Retry-After for a quarantined request.
QUARANTINE_RETRY_S = 10.0
# Share of the retry budget that all gateways use together; the rest is a margin for state that
# lags behind.
RETRY_BUDGET_SHARE = 0.6
# Maximum size of a response that is not a stream: it is buffered until it is complete.
MAX_RESPONSE_BODY_BYTES = 16 * 1024 * 1024
# Maximum size of one event of a stream.
MAX_EVENT_BYTES = 256 * 1024
# Bytes of request bodies that a gateway holds for all requests together; a process must stay within
# the memory of a small host.
MAX_REQUEST_BODIES_BYTES = 64 * 1024 * 1024
# Bytes of responses that a gateway holds for all requests together, from their arrival until the
# callers have taken them.
MAX_RESPONSES_BYTES = 64 * 1024 * 1024
# Maximum number of bytes buffered for a caller that reads slowly.
MAX_CALLER_BUFFER_BYTES = 512 * 1024
# Time after SIGTERM until idle connections are closed. By then the load balancer has stopped
# sending requests.
DRAIN_IDLE_CLOSE_S = 2.2
# Time after SIGTERM from which requests that may outlast the grace period are refused.
DRAIN_REJECT_LONG_S = 2.7
# Margin reserved at the end of the grace period for a clean exit.
DRAIN_MARGIN_S = 0.7
# Part of that margin in which requests that were read last are answered.
LAST_ANSWERS_S = 0.2
# Smoothing factor of the exponential moving average of the slowdown.
SLOWDOWN_SMOOTHING = 0.2
MAX_SLOWDOWN = 12.0
# Interval at which the slowdown of endpoints is estimated from the pauses of streams.
PACE_UPDATE_INTERVAL_S = 0.2
# Time without an update after which the process itself was stopped.
PACE_STALL_S = 0.6
# Minimum time over which the pauses of a stream are averaged, and the time for which that counts.
PACE_WINDOW_S = 0.3
PACE_SAMPLE_TTL_S = 0.6
# Pause in progress that counts before it ends, as a multiple of the expected one.
PACE_SILENCE_FACTOR = 2.5
# Excess of a stream's pauses over the typical ones that is taken for noise.
PACE_NOISE = 0.15
# Shorter excesses are those of networks and event loops.
MIN_PACE_EXCESS_S = 0.003
# Slowdown from which an endpoint is reported, and from which it counts as slow.
REPORTED_SLOWDOWN = 1.2
SLOW_ENDPOINT_FACTOR = 1.5
# Time for which a sound endpoint is reported after it was last reported slow.
PACE_MEMORY_S = 10.0
# Half-life of a slowdown without new observations.
PACE_HALF_LIFE_S = 2.0
# Time after which a slow endpoint that no gateway has found sound explains the slow streams through
# it, and the share of their excess that it must explain. Gateways need three reports to clear one.
PACE_CONFIRMATION_S = 0.8
PACE_EXPLAINED_SHARE = 0.6
# Quantile of the pace that is typical of sound paths, largest step towards it at an update, and its
# range.
TYPICAL_PACE_QUANTILE = 0.2
TYPICAL_PACE_STEP = 0.05
MIN_TYPICAL_PACE = 0.5
MAX_TYPICAL_PACE = 2.0
# Minimum interval between two extracts of named limits, and the interval of unchanged ones.
LIMIT_PUSH_INTERVAL_S = 0.02
LIMIT_REFRESH_INTERVAL_S = 2.0
# Minimum interval between two messages with the demand for permits, and of unchanged ones.
DEMAND_PUSH_INTERVAL_S = 0.02
DEMAND_REFRESH_INTERVAL_S = 0.2
# Usual time from a demand until the permits arrive.
PERMIT_ROUND_TRIP_S = 0.1
# Time for which an unused permit is valid, for limits of several requests a second.
PERMIT_TTL_S = 1.5
# Under a lower limit permits are valid until about so many of them are unused. Together with the
# requests of gateways that are cut off, more would pass the rule for limits (design 063).
MAX_UNUSED_PERMITS = 4.0
# Longest time for which an unused permit is valid.
MAX_PERMIT_TTL_S = 10.0
# Time over which requests are counted to predict the next ones, and the time that is predicted.
EXPECTATION_WINDOW_S = 1.0
EXPECTATION_HORIZON_S = 0.2
# Time without an answer to a demand after which a gateway is taken to be cut off from the leader.
GRANT_TIMEOUT_S = 0.7
# Time after the last demand for which its gateway is taken to be cut off still.
CUT_OFF_MEMORY_S = 5.0
# Share of its even part of a limit that a gateway uses while it is cut off from the leader.
CUT_OFF_SHARE = 0.5
# Time for which a cut-off gateway saves up unused permits; at least one permit is.
CUT_OFF_BURST_S = 0.25
# Time for which requests of a member are refused at once after one was found hopeless.
GRANT_NEWS_TTL_S = 0.1
# Longest Retry-After because of a limit.
MAX_LIMIT_RETRY_S = 5.0
# Idle connections between gateways are closed by the one that opened them, then by the other.
HANDOVER_IDLE_CONNECTION_TTL_S = 10.0
HANDOVER_IDLE_TIMEOUT_S = 30.0
HANDOVER_CONNECT_TIMEOUT_S = 0.3
# Peers that are tried for one request, and the time for which one that failed is avoided.
MAX_HANDOVER_ATTEMPTS = 3
PEER_AVOIDANCE_S = 1.0
# Time without an answer of a peer after which it is probed; a frozen one answers nothing.
PEER_PATIENCE_S = 1.0
# Maximum size of a request that a peer hands over.
MAX_HANDOVER_BYTES = 64 * 1024 * 1024
# Time within which a peer must say whether it reaches a service, which it may have to find out, and
# the time for which what it says holds.
REACH_QUESTION_TIMEOUT_S = 0.8
CONFIRMED_REACH_S = 0.5
# Longest pause of an endpoint; by then it has another incarnation, or has been forgotten.
MAX_PAUSE_S = 3_600.0
# Random part of the time until a gateway returns after a pause, as a share of it and at most.
RETURN_SPREAD_SHARE = 0.2
MAX_RETURN_SPREAD_S = 0.5
# Routes without requests that are logged for one document.
MAX_LOGGED_ROUTES = 5
