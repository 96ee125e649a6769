"""Estimates the cost of requests from their size and their member's history."""

from __future__ import annotations

from collections import OrderedDict

from lagoonwing_core.ids import MemberId, ModelId
from lagoonwing_policy.cost.models import CostEstimate, CostSettings
from lagoonwing_policy.models import ModelWork, RequestProfile, ServiceWork

# A member's requests with token limits of the same power of two share one history.
HistoryKey = tuple[MemberId, ModelId, int]


class CostEstimator:
    """Learns what share of the token limit each member's requests generate on average."""

    def __init__(self, settings: CostSettings) -> None:
        self._settings = settings
        self._output_share_by_key: OrderedDict[HistoryKey, float] = OrderedDict()

    def estimate(self, profile: RequestProfile) -> CostEstimate:
        """Return the expected cost of a request."""
        match profile.work:
            case ModelWork() as work:
                key = _history_key(profile.member_id, work)
                share = self._output_share_by_key.get(key, self._settings.initial_output_share)
                return self._model_cost(work, share * work.max_tokens)
            case ServiceWork():
                return CostEstimate(0, 0.0, self._settings.service_call_cost)

    def actual(self, profile: RequestProfile, tokens: int) -> CostEstimate:
        """Return the cost of a request that generated `tokens`."""
        match profile.work:
            case ModelWork() as work:
                return self._model_cost(work, tokens)
            case ServiceWork():
                return CostEstimate(0, 0.0, self._settings.service_call_cost)

    def learn(self, profile: RequestProfile, tokens: int) -> None:
        """Add a finished request to its member's history."""
        work = profile.work
        if not isinstance(work, ModelWork) or work.max_tokens <= 0:
            return
        key = _history_key(profile.member_id, work)
        share = min(1.0, tokens / work.max_tokens)
        known = self._output_share_by_key.get(key)
        weight = self._settings.history_weight
        blended = share if known is None else known + weight * (share - known)
        self._output_share_by_key[key] = blended
        self._output_share_by_key.move_to_end(key)
        if len(self._output_share_by_key) > self._settings.max_histories:
            self._output_share_by_key.popitem(last=False)

    def _model_cost(self, work: ModelWork, output_tokens: float) -> CostEstimate:
        """Return the cost of a model request that generates `output_tokens`."""
        prompt_tokens = work.prompt_tokens + work.images * self._settings.image_tokens
        cost = prompt_tokens * self._settings.prompt_token_cost + max(1.0, output_tokens)
        return CostEstimate(prompt_tokens, output_tokens, cost)


def _history_key(member_id: MemberId, work: ModelWork) -> HistoryKey:
    """Return the history key of a request."""
    return (member_id, work.model_id, work.max_tokens.bit_length())
