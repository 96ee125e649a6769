"""Settings, faults and messages of the fake endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec


class FakeKind(Enum):
    """Kind of endpoint to simulate."""

    WHOLE_MODEL = "whole_model"
    STAGE = "stage"
    SERVICE = "service"


class Fault(Enum):
    """Fault to inject."""

    NONE = "none"
    REFUSE = "refuse"
    CRASH_BEFORE = "crash_before"
    CRASH_AFTER = "crash_after"
    FREEZE = "freeze"
    LATE = "late"
    MISMATCHED_ID = "crossed"
    DUPLICATED = "doubled"
    TRUNCATED = "truncated"
    RESET = "reset"
    NO_RESUME = "no_resume"


class FaultPlan(msgspec.Struct, kw_only=True):
    """Faults to inject, set on the command line or by `POST /fake/control`.

    Attributes:
        count: Number of requests still to be affected; -1 means all.
        after_tokens: Tokens generated correctly before the fault occurs.
        delay_s: Delay of a late response.
        crash_marker: Text in a prompt or body that crashes the process.
    """

    fault: Fault = Fault.NONE
    count: int = -1
    after_tokens: int = 0
    delay_s: float = 0.2
    crash_marker: str = ""


@dataclass(frozen=True, slots=True)
class FakeSettings:
    """Settings of a fake endpoint.

    Attributes:
        entries: Addresses of the entry hosts to announce to, as `host:port`.
        tokens_per_s: Tokens or stage steps per second over all slots; 0 disables pacing.
        first_token_s: Additional delay of the first token.
        jitter: Fraction by which each token interval varies in either direction.
        log_path: File for the execution log, as JSON lines; empty to disable.
        calls: Calls of a service as `METHOD:/path:idempotent|once`.
    """

    kind: FakeKind
    endpoint_id: str
    address: str = "127.0.0.1"
    port: int = 0
    entries: tuple[str, ...] = ()
    endpoint_key: str = ""
    failure_domain: str = "fd1"
    accelerator: str = "standin"
    model: str = "m1"
    first: int = 0
    end: int = 0
    layer_count: int = 0
    service: str = ""
    calls: tuple[str, ...] = ()
    slots: int = 8
    tokens_per_s: float = 0.0
    announced_tokens_per_s: float = 0.0
    first_token_s: float = 0.0
    jitter: float = 0.0
    kv_tokens: int = 100_000
    exports_kv: bool = False
    honours_priority: bool = False
    honours_fencing: bool = False
    max_queue: int = 1000
    seed: int = 1
    log_path: str = ""
    log_tokens: bool = True


class ResumeFrom(msgspec.Struct):
    """Position from which a response is resumed."""

    tokens: int
    text: str = ""


class ModelBody(msgspec.Struct):
    """Fields of a completion request that the fake endpoint reads."""

    model: str
    prompt: str = ""
    messages: list[dict[str, Any]] = []
    max_tokens: int = 0
    stream: bool = False
    resume_from: ResumeFrom | None = None


class StepBody(msgspec.Struct):
    """Body of `/stage/step`."""

    request_id: str
    attempt: int
    token: int
    first: int
    end: int
    state: dict[str, Any]
    close: bool = False


class ReplayBody(msgspec.Struct):
    """Body of `/stage/replay`."""

    request_id: str
    attempt: int
    prompt: str
    max_tokens: int
    tokens: list[str]
    first: int
    end: int


class ExportBody(msgspec.Struct):
    """Body of `/stage/export`.

    Attributes:
        token: Number of tokens to export; the cache of later ones is discarded.
    """

    request_id: str
    attempt: int
    token: int


class StageCache(msgspec.Struct):
    """KV cache of one request at a stage.

    Attributes:
        attempt: Highest attempt seen; lower attempts are refused.
        next_token: Index of the next token.
        seed: Digest of the prompt.
        limit: Number of tokens to generate.
    """

    attempt: int
    next_token: int
    seed: str
    limit: int


class ImportBody(msgspec.Struct):
    """Body of `/stage/import`."""

    request_id: str
    attempt: int
    kv: StageCache
    first: int
    end: int
