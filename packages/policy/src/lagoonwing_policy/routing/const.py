"""Constants of routing."""

from __future__ import annotations

# Limit of sequences in flight on a stage, relative to Little's law at the planned flow.
STAGE_HEADROOM = 1.5
# The flow algorithm needs integers: rates are scaled to hundredths of a token per second.
FLOW_UNITS_PER_TOKEN = 100
# The flow algorithm needs integers: link times are scaled to microseconds.
COST_UNITS_PER_S = 1_000_000

# Latency between two failure domains without a configured link.
DEFAULT_LINK_S = 0.0005
# Assumed time per token of an endpoint that announces no rate.
UNKNOWN_INTERVAL_S = 0.05
# Assumed tokens of a service call, for comparing endpoints.
SERVICE_TOKENS = 1
# Work per prompt token, relative to a generated token.
PROMPT_TOKEN_WEIGHT = 0.05

# Relative slowdown of a full batch against an empty one, for comparing endpoints.
BATCH_SLOWDOWN = 0.25

# Maximum number of endpoints compared in one decision; a sample is compared if there are more.
MAX_COMPARED = 24
SAMPLE_SIZE = 12

HINT_TTL_S = 2.0
PREFIX_TTL_S = 300.0
MAX_PREFIXES_PER_ENDPOINT = 4096
PREFERRED_ENDPOINTS = 3
MAX_PREFERENCES = 4096
# Maximum utilization of a preferred endpoint, relative to the average.
BOUNDED_LOAD_FACTOR = 1.25
# Maximum completion time of a preferred endpoint, relative to the best.
AFFINITY_SLACK = 1.5

EJECT_AFTER_FAILURES = 3
EJECTION_MIN_S = 1.0
EJECTION_MAX_S = 30.0
# With a smaller share of healthy endpoints, ejections are ignored: an ejected endpoint is better
# than none.
MIN_HEALTHY_SHARE = 0.5

# Cost factor of endpoints in a failure domain where an earlier attempt failed.
SAME_DOMAIN_PENALTY = 4.0
MAX_FAILED_DOMAINS = 4096

# Cost factor of stages that the flow plan does not use.
UNPLANNED_PENALTY = 3.0

# Time for which endpoints are reserved for a recorded suspect on every entry host.
RESERVATION_S = 10.0
# Maximum share of a pool that is reserved for suspects.
MAX_RESERVED_SHARE = 0.25
# Time to wait for the record of a crash before a suspect is assigned other endpoints.
SUSPECT_SETTLE_S = 4.0
MAX_PINS = 1024
MAX_FORMER_ENDPOINTS = 1024
