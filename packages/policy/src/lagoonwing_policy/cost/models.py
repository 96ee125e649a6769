"""Settings and estimates of the cost of requests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CostSettings:
    """How the cost of a request is estimated.

    Attributes:
        photo_tokens: Prompt tokens that a photo stands for.
        prompt_token_cost: Cost of a prompt token; a generated token costs 1.
        service_call_cost: Cost of a call of a plain service.
        initial_output_share: Share of the token limit that is expected to be generated while
            nothing is known of a member.
        history_weight: Weight of the newest request in the moving average.
        max_histories: Moving averages kept; the least recently used goes first.
        initial_median_cost: Median cost of requests while nothing is known of a pool.
        short_factor: Work up to this many times the median is short.
        long_factor: Work over this many times the median is long.
    """

    photo_tokens: int = 576
    prompt_token_cost: float = 0.1
    service_call_cost: float = 16.0
    initial_output_share: float = 0.5
    history_weight: float = 0.2
    max_histories: int = 8192
    initial_median_cost: float = 128.0
    short_factor: float = 2.0
    long_factor: float = 5.0


@dataclass(frozen=True, slots=True)
class CostEstimate:
    """What a request is expected to cost.

    Attributes:
        prompt_tokens: Prompt tokens, photos included.
        output_tokens: Tokens expected to be generated.
        cost: Work in the unit of one generated token.
    """

    prompt_tokens: int
    output_tokens: float
    cost: float

    @property
    def tokens(self) -> float:
        """Return the tokens, prompt and generated, that count towards a cap."""
        return self.prompt_tokens + self.output_tokens
