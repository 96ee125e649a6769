"""Plan and results of a load run."""

from __future__ import annotations

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from lagoonctl.load.const import (
    DEFAULT_DURATION_S,
    DEFAULT_LONG_TOKENS,
    DEFAULT_MODEL,
    DEFAULT_PROMPT_WORDS,
    DEFAULT_SEED,
    DEFAULT_SHORT_TOKENS,
    DEFAULT_TIMEOUT_S,
    HISTOGRAM_MAX_US,
    HISTOGRAM_SIGNIFICANT_DIGITS,
    MICROSECONDS_PER_S,
)
from lagoonwing_core.ids import MemberId
from lagoonwing_core.result_codes import Outcome


@dataclass(frozen=True, slots=True)
class Target:
    """Caller port of one entry host."""

    address: str
    port: int


@dataclass(frozen=True, slots=True)
class Surge:
    """A time window in which a member's request rate is multiplied."""

    factor: float
    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class MemberLoad:
    """Load of one member.

    Attributes:
        key: Bearer key.
        rate_per_s: Mean rate of the Poisson arrivals, in requests per second.
    """

    member_id: MemberId
    key: str
    rate_per_s: float
    surge: Surge | None = None


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a load run.

    Attributes:
        long_share: Fraction of requests limited to `long_tokens` instead of `short_tokens`.
        timeout_s: Deadline sent with each request.
        prompt_suffix: Text appended to each prompt, with `{max_tokens}` substituted.
        streamed: Whether to request streamed responses.
    """

    targets: tuple[Target, ...]
    members: tuple[MemberLoad, ...]
    model: str = DEFAULT_MODEL
    duration_s: float = DEFAULT_DURATION_S
    timeout_s: float = DEFAULT_TIMEOUT_S
    long_share: float = 0.0
    short_tokens: int = DEFAULT_SHORT_TOKENS
    long_tokens: int = DEFAULT_LONG_TOKENS
    prompt_words: int = DEFAULT_PROMPT_WORDS
    prompt_suffix: str = ""
    streamed: bool = True
    seed: int = DEFAULT_SEED


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A scheduled request.

    Attributes:
        at_s: Start time, in seconds from the start of the run.
    """

    at_s: float
    member: MemberLoad
    target: Target
    prompt: str
    max_tokens: int
    long: bool


@dataclass(slots=True)
class RequestResult:
    """Result of one request.

    Attributes:
        first_token_s: Time to first token in seconds, if one arrived.
        gaps_s: Times between consecutive tokens, in seconds.
        token_times_s: Arrival time of each token, in seconds from the start of the run.
        broken: Whether a response started but did not complete.
    """

    planned: PlannedRequest
    outcome: Outcome
    code: int
    request_id: str = ""
    first_token_s: float | None = None
    gaps_s: list[float] = field(default_factory=list)
    token_times_s: list[float] = field(default_factory=list)
    text: str = ""
    broken: bool = False
    retry_after_s: float | None = None


def _make_histogram() -> HdrHistogram:
    """Create an empty histogram in microseconds."""
    return HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class MemberReport:
    """Aggregated results of one member."""

    sent: int = 0
    tokens: int = 0
    broken: int = 0
    count_by_outcome: dict[Outcome, int] = field(default_factory=dict)
    count_by_code: dict[int, int] = field(default_factory=dict)
    first_token: HdrHistogram = field(default_factory=_make_histogram)
    short_first_token: HdrHistogram = field(default_factory=_make_histogram)
    between_tokens: HdrHistogram = field(default_factory=_make_histogram)

    def add(self, result: RequestResult) -> None:
        """Add one result."""
        self.sent += 1
        self.tokens += len(result.token_times_s)
        self.broken += result.broken
        self.count_by_outcome[result.outcome] = self.count_by_outcome.get(result.outcome, 0) + 1
        self.count_by_code[result.code] = self.count_by_code.get(result.code, 0) + 1
        for gap in result.gaps_s:
            _record(self.between_tokens, gap)
        if result.first_token_s is None:
            return
        _record(self.first_token, result.first_token_s)
        if not result.planned.long:
            _record(self.short_first_token, result.first_token_s)


def _record(histogram: HdrHistogram, seconds: float) -> None:
    """Add a duration to a histogram."""
    histogram.record_value(max(1, round(seconds * MICROSECONDS_PER_S)))


def percentile_s(histogram: HdrHistogram, percent: float) -> float:
    """Return a percentile in seconds, or 0 for an empty histogram."""
    return float(histogram.get_value_at_percentile(percent)) / MICROSECONDS_PER_S


@dataclass(slots=True)
class LoadReport:
    """Results of a load run.

    Attributes:
        tokens_by_step: Tokens received in each step of the timeline.
    """

    plan: LoadPlan
    elapsed_s: float = 0.0
    report_by_member: dict[MemberId, MemberReport] = field(default_factory=dict)
    tokens_by_step: dict[int, int] = field(default_factory=dict)
    results: list[RequestResult] = field(default_factory=list)
