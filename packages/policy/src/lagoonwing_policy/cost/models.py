"""Cost settings and cost estimates."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CostSettings:
    """Parameters of the cost estimates.

    Attributes:
        image_tokens: Number of prompt tokens assumed per image.
        prompt_token_cost: Cost of a prompt token; a generated token costs 1.
        service_call_cost: Cost of a service call.
        initial_output_share: Expected share of the token limit that is generated, for members
            without history.
        history_weight: Weight of the latest request in the moving average.
        max_histories: Number of histories kept; the least recently used is evicted.
        initial_median_cost: Median cost of requests in a pool without history.
        short_factor: Work up to this multiple of the median is short.
        long_factor: Work above this multiple of the median is long.
    """

    image_tokens: int = 576
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
    """Expected or actual cost of a request.

    Attributes:
        prompt_tokens: Prompt tokens, including images.
        output_tokens: Generated tokens.
        cost: Cost in units of one generated token.
    """

    prompt_tokens: int
    output_tokens: float
    cost: float

    @property
    def tokens(self) -> float:
        """Return the prompt and generated tokens, which count against a cap."""
        return self.prompt_tokens + self.output_tokens
