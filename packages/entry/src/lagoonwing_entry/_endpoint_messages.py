"""Request and response bodies of the endpoint API."""

from __future__ import annotations

import msgspec

from lagoonwing_entry.models import CacheEvent


class Delta(msgspec.Struct):
    """Text of one chat completion chunk."""

    content: str | None = None


class Choice(msgspec.Struct):
    """Choice of a chunk."""

    text: str | None = None
    delta: Delta | None = None
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """Server-sent event of a completion."""

    id: str
    attempt: int
    choices: list[Choice]
    token: int | None = None


class StepResponse(msgspec.Struct):
    """Response of `/stage/step`."""

    request_id: str
    attempt: int
    token: int
    first: int
    end: int
    state: msgspec.Raw


class ExportResponse(msgspec.Struct):
    """Response of `/stage/export`."""

    request_id: str
    attempt: int
    kv: msgspec.Raw


class CacheEventsResponse(msgspec.Struct):
    """Response of `/cache-events`."""

    events: tuple[CacheEvent, ...]


class StepRequest(msgspec.Struct):
    """Body of `/stage/step`."""

    request_id: str
    attempt: int
    token: int
    first: int
    end: int
    state: msgspec.Raw
    close: bool = False


class ReplayRequest(msgspec.Struct):
    """Body of `/stage/replay`."""

    request_id: str
    attempt: int
    prompt: str
    max_tokens: int
    tokens: tuple[str, ...]
    first: int
    end: int


class ExportRequest(msgspec.Struct):
    """Body of `/stage/export`."""

    request_id: str
    attempt: int
    token: int


class ImportRequest(msgspec.Struct):
    """Body of `/stage/import`."""

    request_id: str
    attempt: int
    kv: msgspec.Raw
    first: int
    end: int


class ResumeFrom(msgspec.Struct):
    """Position from which a completion is resumed."""

    tokens: int
    text: str


class FirstStageInput(msgspec.Struct):
    """Input of the first stage for the first token."""

    prompt: str
    max_tokens: int


class NextStageInput(msgspec.Struct):
    """Input of the first stage for every later token."""

    previous: str


class LastStageOutput(msgspec.Struct):
    """Output of the last stage."""

    text: str
    finished: bool
