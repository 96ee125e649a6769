"""Parser for streams of server-sent events, a format that no platform owns."""

from __future__ import annotations

from lagoonwing_gateway.models import StreamEvent

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


class ServerSentEvents:
    """Splits a byte stream into complete server-sent events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def rest(self) -> bytes:
        """Bytes of the incomplete last event."""
        return self._buffer

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are now complete."""
        buffer = self._buffer + chunk
        events: list[StreamEvent] = []
        start = 0
        while (found := buffer.find(_EVENT_END, start)) >= 0:
            end = found + len(_EVENT_END)
            content = buffer[start:end]
            events.append(StreamEvent(_event_id(content), content))
            start = end
        self._buffer = buffer[start:]
        return events


def _event_id(content: bytes) -> str | None:
    """Return the id of an event, or `None`."""
    for line in content.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return None
