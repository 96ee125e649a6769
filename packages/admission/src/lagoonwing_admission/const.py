"""Constants of admission and waiting."""

from __future__ import annotations

# Share of the started cost that each rank with waiting work gets, however urgent the others are.
MIN_RANK_SHARE = 0.05
# Bounds the sum of these smallest shares, so that many ranks don't reverse the order.
MAX_MIN_SHARES = 0.2
# Guaranteed share of a rank relative to its share of the offered cost. No kind of request may be
# served less than a quarter as often as all; 0.05 alone breaks this when the least urgent rank
# offers more than a fifth of the cost.
DEMAND_GUARANTEE = 0.3
# Time constant of the decaying totals of offered and started cost by rank.
RANK_DEMAND_TIME_CONSTANT_S = 2.0
# Lower rates, in cost per second, count as unknown.
MIN_KNOWN_RATE = 1e-3
# Share of the capacity that is promised to returning callers; the rest is for new requests.
RETURN_SHARE = 0.5
# Shortest promised time of return. An earlier return is treated as a new request.
MIN_RETURN_S = 0.3
# Span of the random part of a promise without a known rate.
UNKNOWN_RATE_JITTER_S = 0.6
# Time for which capacity is reserved for a request that others have overtaken, relative to the
# time in which the service starts work of its cost, and the longest such time.
RESERVE_FACTOR = 2.5
MAX_RESERVE_S = 0.5
# Time constant of the average of the cost started per second.
START_RATE_TIME_CONSTANT_S = 1.0
# Share by which the usual time of a route's callers decays per second. Between two first
# attempts that are 2 s apart, a caller's first attempt is misjudged by 1 in 100 of its time.
USUAL_TIME_DECAY_PER_S = 0.005
