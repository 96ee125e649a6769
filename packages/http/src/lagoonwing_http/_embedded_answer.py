"""Finds an answer of the endpoint inside the body of an answer; no I/O."""

from __future__ import annotations

import re

from lagoonwing_http._response_parser import STATUS_LINE
from lagoonwing_http.const import MAX_RESPONSE_HEADER_BYTES, MAX_STATUS_LINE_START_BYTES

_HEAD_END = re.compile(rb"\r?\n\r?\n")
# Looked for before the pattern of a status line, which takes longer.
_STATUS_LINE_START = b"HTTP/1."


class EmbeddedAnswerFinder:
    """Looks through a body for the head of an answer to one of some requests.

    Such a body was cut short and filled up by another answer of the endpoint. Where answers name no
    request, each status line counts as such a head.
    """

    def __init__(self, request_ids: frozenset[str]) -> None:
        self._ids = frozenset(request_id.encode("latin-1") for request_id in request_ids)
        self._tail = b""

    def feed(self, raw_body: bytes, remainder: bytes) -> bool:
        """Look through the next part of a body; return whether another answer begins in it.

        Args:
            raw_body: The part, with its framing.
            remainder: Bytes behind the end of the body, where it has ended.
        """
        length = len(self._tail) + len(raw_body)
        window = self._tail + raw_body + remainder[:MAX_RESPONSE_HEADER_BYTES]
        tail_start = max(0, length - MAX_STATUS_LINE_START_BYTES)
        if _STATUS_LINE_START not in window:
            self._tail = window[tail_start:length]
            return False
        examined_end = 0
        for start_line in STATUS_LINE.finditer(window):
            start = start_line.start()
            if start >= length:
                break
            if start_line.end() > length:
                return True
            if start >= examined_end:
                head_end = _HEAD_END.search(window, start)
                examined_end = head_end.end() if head_end else len(window) + 1
                if self._names_request(window[start:examined_end]):
                    return True
            # The lines of a head that begins inside another one have been examined with that one.
            if examined_end > len(window) and len(window) - start < MAX_RESPONSE_HEADER_BYTES:
                tail_start = min(tail_start, start)
        self._tail = window[tail_start:length]
        return False

    def _names_request(self, head: bytes) -> bool:
        """Return whether a whole line of a head has an id as its value, if there are ids."""
        if not self._ids:
            return True
        lines = head.split(b"\n")[1:-1]
        return any(line.partition(b":")[2].strip() in self._ids for line in lines)
