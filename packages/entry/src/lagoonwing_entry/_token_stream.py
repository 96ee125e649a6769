"""Parser for the server-sent events of a completion, with checks of ids and token order."""

from __future__ import annotations

import msgspec

from lagoonwing_entry._endpoint_messages import Choice, Chunk
from lagoonwing_entry.models import DispatchId, Token, TokenBatch

_DECODER = msgspec.json.Decoder(Chunk)
_EVENT_END = b"\n\n"
_DATA = b"data: "
_DONE = b"[DONE]"
MAX_EVENT_BYTES = 256 * 1024
# What a token takes besides its text.
TOKEN_BYTES = 64


class TokenStreamReader:
    """Parses bytes into ordered tokens; rejects events of other requests or attempts."""

    def __init__(self, dispatch_id: DispatchId, first_token: int, max_bytes: int) -> None:
        """Create a reader.

        Args:
            dispatch_id: Ids that each event must echo.
            first_token: Index of the first token that is due.
            max_bytes: Maximum size of all tokens.
        """
        self._dispatch_id = dispatch_id
        self._max_bytes = max_bytes
        self._token_bytes = 0
        self._next_token = first_token
        self._buffer = b""
        self._finish_reason: str | None = None
        self.complete = False
        self.duplicate_count = 0

    @property
    def held_bytes(self) -> int:
        """Bytes of the tokens so far and of the event that isn't complete."""
        return self._token_bytes + len(self._buffer)

    def feed(self, data: bytes) -> TokenBatch | None:
        """Parse the next bytes of the stream.

        Returns:
            The tokens that were completed, if any; the last batch has a finish reason.

        Raises:
            ValueError: An event is malformed, from another request or attempt, or out of order.
        """
        events = (self._buffer + data if self._buffer else data).split(_EVENT_END)
        self._buffer = events.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("an event is too large")
        tokens: list[Token] = []
        for event in events:
            self._handle_event(event.strip(), tokens)
        reason = self._finish_reason if self.complete else None
        if not tokens and reason is None:
            return None
        return TokenBatch(tuple(tokens), reason)

    def _handle_event(self, event: bytes, tokens: list[Token]) -> None:
        """Handle one event."""
        if not event.startswith(_DATA) or self.complete:
            return
        payload = event[len(_DATA) :]
        if payload == _DONE:
            if self._finish_reason is None:
                raise ValueError("the stream ended without a finish reason")
            self.complete = True
            return
        try:
            chunk = _DECODER.decode(payload)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise ValueError(f"malformed event: {error}") from error
        self._handle_chunk(chunk, tokens)

    def _handle_chunk(self, chunk: Chunk, tokens: list[Token]) -> None:
        """Handle one decoded event."""
        if (chunk.id, chunk.attempt) != (
            self._dispatch_id.request_id,
            self._dispatch_id.attempt,
        ):
            raise ValueError("an event of another request or attempt")
        if not chunk.choices:
            return
        choice = chunk.choices[0]
        if choice.finish_reason is not None:
            self._finish_reason = choice.finish_reason
        if chunk.token is None:
            return
        if chunk.token < self._next_token:
            self.duplicate_count += 1
            return
        if chunk.token > self._next_token:
            raise ValueError(f"token {chunk.token} came where {self._next_token} was due")
        text = _text_of(choice)
        self._token_bytes += len(text.encode()) + TOKEN_BYTES
        if self._token_bytes > self._max_bytes:
            raise ValueError(f"the completion passes {self._max_bytes} bytes")
        tokens.append(Token(chunk.token, text))
        self._next_token += 1


def _text_of(choice: Choice) -> str:
    """Return the text of a choice."""
    if choice.delta is not None:
        return choice.delta.content or ""
    return choice.text or ""
