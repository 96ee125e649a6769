"""Bodies that endpoints speak."""

from __future__ import annotations

import msgspec

from lagoonwing_entry.models import CacheEvent


class Delta(msgspec.Struct):
    """Text of one chunk of a chat."""

    content: str | None = None


class Choice(msgspec.Struct):
    """One choice of a chunk."""

    text: str | None = None
    delta: Delta | None = None
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """One server-sent event of a completion."""

    id: str
    attempt: int
    choices: list[Choice]
    token: int | None = None


class StepAnswer(msgspec.Struct):
    """Answer of `/stage/step`."""

    request_id: str
    attempt: int
    token: int
    first: int
    end: int
    state: msgspec.Raw


class ExportAnswer(msgspec.Struct):
    """Answer of `/stage/export`."""

    request_id: str
    attempt: int
    kv: msgspec.Raw


class CacheEventsAnswer(msgspec.Struct):
    """Answer of `/cache-events`."""

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
    """Where a resumed answer goes on."""

    tokens: int
    text: str


class FirstState(msgspec.Struct):
    """What the first stage gets for the first token."""

    prompt: str
    max_tokens: int


class NextState(msgspec.Struct):
    """What the first stage gets for each later token."""

    previous: str


class LastState(msgspec.Struct):
    """What the last stage gives."""

    text: str
    finished: bool
