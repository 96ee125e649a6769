"""Constants for layer placement and path selection."""

from __future__ import annotations

# Block counts into which the planner tries to partition the model.
BLOCK_COUNTS = (4, 5, 8, 10, 16, 20)
# Minimum share of an accelerator's memory reserved for the KV cache.
MIN_KV_SHARE = 0.15
# Requests of typical size that must fit into the KV cache of an endpoint that holds layers.
MIN_RESIDENT_REQUESTS = 6.0
# Weights of the remaining KV capacity after the worst-case loss of 0, 1 and 2 endpoints of a
# failure domain.
LOSS_WEIGHTS = (0.4, 0.3, 0.3)
# Relative tolerance within which scores are equal; the layout with fewer blocks then wins.
SCORE_TOLERANCE = 1e-9
# Share of reserved KV cache above which an endpoint counts as full.
KV_FULL_SHARE = 0.92
# Share of reserved KV cache above which an endpoint is penalised in path selection.
KV_BUSY_SHARE = 0.5
# Cost of KV cache pressure, in milliseconds per unit of share above KV_BUSY_SHARE.
KV_PRESSURE_MS = 400.0
# Fixed cost of each further endpoint on a path, in milliseconds.
HOP_COST_MS = 1.0
# Weight of the transfer time between failure domains: the links are shared, so a transfer also
# delays every other request on them.
TRANSFER_WEIGHT = 6.0
# Backlog of a link above which no further request is routed over it, in milliseconds.
MAX_LINK_BACKLOG_MS = 250.0
# Cost of a path that starts in another failure domain than the gateway, in milliseconds: its
# response events return over a link.
REMOTE_ENTRY_COST_MS = 60.0
# Relative cost increase of a prefill per request running on the endpoint: prefill delays their
# decoding.
PREFILL_INTERFERENCE = 0.05
# Weight of time to first token: below the objective, shortening it is worth less than the delay
# caused to other requests.
LATENCY_WEIGHT = 0.3
# Weight of decoding time: callers wait for the first token, the rest of the response only occupies
# KV cache.
DECODE_WEIGHT = 0.03
# Load under which a path that exceeds a bound without any load is full, as a multiple of its time
# without load.
IDLE_EXCESS_LOAD_FACTOR = 2.0
# Rank of an endpoint behind others of its group for each unit of slowdown above 1, in sequences. On
# published figures, 40 more sequences lengthen a step less than a slowdown of 2.
SLOWDOWN_RANK = 40.0
# Cost of a path that takes exactly as long as one of its bounds allows, in milliseconds, where
# paths are compared by their bounds only. It outweighs the costs of hops and domains.
BOUND_COST_MS = 2_000.0
# Prompt tokens that an engine prefills in one pass at most.
PREFILL_CHUNK_TOKENS = 512
# Reserved output as a multiple of the expected output. Hints are too low as often as too high, and
# a request that outgrows its reservation may preempt another one.
OUTPUT_RESERVE_FACTOR = 1.5
# Random share of a path's cost, so that gateways don't all choose the same path.
JITTER_SHARE = 0.1
# The same for the choice within a group whose loads are drawn at random: it only breaks ties.
TIE_JITTER_SHARE = 0.001
# Maximum number of endpoints on a path that engines accept.
MAX_PATH_ENDPOINTS = 32
# Time in addition to the load time after which an unconfirmed order is reissued, in seconds.
ORDER_TIMEOUT_MARGIN_S = 3.0
# Time without newly registered endpoints after which the first plan is computed, in seconds.
INITIAL_PLAN_DELAY_S = 1.2
# Other holders that each block must have before an extended endpoint gives it up: one of them may
# have crashed without being noticed yet.
SHRINK_MIN_HOLDERS = 2
BYTES_PER_MB = 1_000_000.0
