"""Parsing of completion events: arbitrary chunk boundaries, duplicates, gaps and foreign events."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonwing_core.ids import Attempt, RequestId
from lagoonwing_entry._token_stream import MAX_EVENT_BYTES, TOKEN_BYTES, TokenStreamReader
from lagoonwing_entry.models import DispatchId

DISPATCH_ID = DispatchId(RequestId("r1"), Attempt(256))
MAX_BYTES = 8 * 1024 * 1024
DONE = b"data: [DONE]\n\n"


def _event(token: int | None, finish: str | None = None, **fields: Any) -> bytes:
    """Return one event."""
    delta = {} if token is None else {"content": f"t{token}é"}
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    chunk = {"id": "r1", "attempt": 256, "token": token, "choices": [choice], **fields}
    return b"data: " + json.dumps(chunk, ensure_ascii=False).encode() + b"\n\n"


STREAM = b"".join(_event(n) for n in range(5)) + _event(None, "stop") + DONE


@given(st.lists(st.integers(1, len(STREAM) - 1), max_size=30))
def test_chunk_boundaries_do_not_change_the_tokens(cuts: list[int]) -> None:
    """Tokens are returned once and in order, for any chunk boundaries."""
    reader = TokenStreamReader(DISPATCH_ID, 0, MAX_BYTES)
    positions = [0, *sorted(set(cuts)), len(STREAM)]
    texts: list[str] = []
    reasons: list[str | None] = []
    for begin, end in zip(positions, positions[1:], strict=False):
        batch = reader.feed(STREAM[begin:end])
        if batch is not None:
            texts += [token.text for token in batch.tokens]
            reasons.append(batch.finish_reason)
    assert texts == [f"t{n}é" for n in range(5)]
    assert reader.complete
    assert reasons[-1] == "stop"
    assert reasons[:-1] == [None] * (len(reasons) - 1)


@given(st.lists(st.integers(0, 6), max_size=40))
def test_duplicate_and_missing_tokens(indexes: list[int]) -> None:
    """Duplicate tokens are discarded; a gap raises an error."""
    reader = TokenStreamReader(DISPATCH_ID, 0, MAX_BYTES)
    passed: list[int] = []
    for index in indexes:
        if index > len(passed):
            with pytest.raises(ValueError):
                reader.feed(_event(index))
            break
        batch = reader.feed(_event(index))
        passed += [token.index for token in batch.tokens] if batch else []
    assert passed == list(range(len(passed)))


@pytest.mark.parametrize(
    "event",
    [
        _event(0, id="r2"),
        _event(0, attempt=512),
        _event(0, attempt=1),
        DONE,
        b"data: {\n\n",
        b"data: []\n\n",
        b"data: " + b"[" * 5000 + b"\n\n",
        b"data: " + b"x" * (MAX_EVENT_BYTES + 1),
    ],
)
def test_invalid_events_are_rejected(event: bytes) -> None:
    """Foreign, malformed and oversize events, and a missing finish reason, are rejected."""
    reader = TokenStreamReader(DISPATCH_ID, 0, MAX_BYTES)
    with pytest.raises(ValueError):
        reader.feed(event)


def test_events_after_the_end_are_ignored() -> None:
    """Events after `[DONE]` are ignored."""
    reader = TokenStreamReader(DISPATCH_ID, 0, MAX_BYTES)
    batch = reader.feed(_event(0) + _event(None, "stop") + DONE + _event(1))
    assert batch is not None
    assert [token.index for token in batch.tokens] == [0]


@pytest.mark.parametrize("text", ["", "x" * 1000])
def test_tokens_without_end_are_refused(text: str) -> None:
    """A completion that never ends is broken off before its tokens fill the memory."""
    reader = TokenStreamReader(DISPATCH_ID, 0, MAX_BYTES)
    with pytest.raises(ValueError, match="passes"):
        for number in range(1 + MAX_BYTES // TOKEN_BYTES):
            reader.feed(_event(number, choices=[{"delta": {"content": text}}]))
    assert reader.held_bytes < MAX_BYTES + MAX_EVENT_BYTES
