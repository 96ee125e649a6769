"""Settings, faults and messages of the stand-ins."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec


class FakeKind(Enum):
    """What a stand-in plays."""

    WHOLE_MODEL = "whole_model"
    STAGE = "stage"
    SERVICE = "service"


class Fault(Enum):
    """How a stand-in misbehaves."""

    NONE = "none"
    REFUSE = "refuse"
    CRASH_BEFORE = "crash_before"
    CRASH_AFTER = "crash_after"
    FREEZE = "freeze"
    LATE = "late"
    CROSSED = "crossed"
    DOUBLED = "doubled"
    TRUNCATED = "truncated"
    RESET = "reset"
    NO_RESUME = "no_resume"


class FaultPlan(msgspec.Struct, kw_only=True):
    """Misbehaviour ordered on the command line or by `POST /fake/control`.

    Attributes:
        count: Requests that still misbehave; -1 is all of them.
        after_tokens: Tokens generated properly before the fault shows.
        delay_s: How late a late answer is.
        crash_marker: Prompts or bodies holding this text kill the process.
    """

    fault: Fault = Fault.NONE
    count: int = -1
    after_tokens: int = 0
    delay_s: float = 0.2
    crash_marker: str = ""


@dataclass(frozen=True, slots=True)
class FakeSettings:
    """Settings of one stand-in.

    Attributes:
        entries: Addresses, `host:port`, of entry hosts to announce to.
        tokens_per_s: Tokens or stage steps per second over all slots; 0 is unpaced.
        first_token_s: Time before the first token.
        jitter: Share by which each pause varies up and down.
        log_path: File that takes what was run, as JSON lines; empty for none.
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
    """Where a resumed answer goes on."""

    tokens: int
    text: str = ""


class ModelBody(msgspec.Struct):
    """Body of a completion, as far as the stand-in reads it."""

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
        token: Tokens whose cache is wanted; later ones are cut off.
    """

    request_id: str
    attempt: int
    token: int


class StageCache(msgspec.Struct):
    """What a stage holds of one request.

    Attributes:
        attempt: Highest attempt seen; lower ones are refused.
        next_token: Token that comes next.
        seed: Digest of the prompt.
        limit: Tokens that will be generated.
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
