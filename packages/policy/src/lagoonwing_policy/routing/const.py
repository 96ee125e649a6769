"""Constants of routing."""

from __future__ import annotations

# Sequences in flight on a stage, over what Little's law asks for at the planned flow.
STAGE_HEADROOM = 1.5
# Rates enter the flow as whole numbers of this part of a token per second.
FLOW_UNITS_PER_TOKEN = 100
# Link costs enter the flow as whole microseconds.
COST_UNITS_PER_S = 1_000_000

# Link between two failure domains unless settings say more.
DEFAULT_LINK_S = 0.0005
# Completion time of an endpoint that tells no rate, per token.
UNKNOWN_INTERVAL_S = 0.05
# Tokens of one plain call, for the comparison of endpoints.
SERVICE_TOKENS = 1
# Work of a prompt's token against a generated one.
PROMPT_TOKEN_WEIGHT = 0.05

# Part by which a full batch is slower than an empty one, for the comparison of endpoints.
BATCH_SLOWDOWN = 0.25

# Endpoints compared in one decision; beyond these a sample is compared.
MAX_COMPARED = 24
SAMPLE_SIZE = 12

HINT_TTL_S = 2.0
PREFIX_TTL_S = 300.0
MAX_PREFIXES_PER_ENDPOINT = 4096
PREFERRED_ENDPOINTS = 3
MAX_PREFERENCES = 4096
# An endpoint preferred for its cache may be this much busier than the average.
BOUNDED_LOAD_FACTOR = 1.25
# Completion time that a preferred endpoint may have, against the best.
AFFINITY_SLACK = 1.5

EJECT_AFTER_FAILURES = 3
EJECTION_MIN_S = 1.0
EJECTION_MAX_S = 30.0
# Below this share of endpoints left, ejections are ignored: better a doubtful one than none.
MIN_HEALTHY_SHARE = 0.5

# Weight of an endpoint in the failure domain where an earlier attempt failed.
SAME_DOMAIN_PENALTY = 4.0
MAX_FAILED_DOMAINS = 4096

# Cost of a stage that the flow plan leaves out, against one that it uses.
UNPLANNED_PENALTY = 3.0

# Time for which a recorded suspect has an endpoint to itself at every entry host.
RESERVATION_S = 10.0
# Part of a pool that suspects may keep for themselves.
MAX_RESERVED_SHARE = 0.25
# Time for the durable state to tell of a death before a suspect is given another endpoint.
SUSPECT_SETTLE_S = 4.0
MAX_PINS = 1024
MAX_FORMER_ENDPOINTS = 1024
