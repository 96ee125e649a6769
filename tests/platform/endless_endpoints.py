"""Endpoints whose answers never end, at full speed, in a process of their own."""

from __future__ import annotations

import itertools
import multiprocessing
import re
import socket
import socketserver
import threading
from contextlib import suppress
from enum import Enum
from multiprocessing.sharedctypes import Synchronized
from typing import Any

from lagoonwing_fakes.platform.const import ADDRESS
from lagoonwing_platform.const import HEADER_ATTEMPT_ID, HEADER_SIGNATURE

FILL = b"x" * (64 * 1024)
MAX_HEAD_LINES = 100
_ATTEMPT_ID = re.compile(rb"%s: ([^\r]*)" % HEADER_ATTEMPT_ID.encode(), re.IGNORECASE)


class EndlessPart(Enum):
    """Part of an answer that never ends."""

    CHUNKED_BODY = "chunked_body"
    UNFRAMED_BODY = "unframed_body"
    STATUS_LINE = "status_line"
    HEAD = "head"
    INTERIM_HEADS = "interim_heads"
    EARLIER_ANSWER = "earlier_answer"
    CHUNK_EXTENSION = "chunk_extension"
    HUGE_CHUNK = "huge_chunk"
    TRAILERS = "trailers"


def _make_head(attempt_id: bytes, *framing: bytes) -> bytes:
    """Return the head of a signed answer."""
    lines = [
        b"HTTP/1.1 200 OK",
        HEADER_ATTEMPT_ID.encode() + b": " + attempt_id,
        HEADER_SIGNATURE.encode() + b": stamp",
        *framing,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _answer(part: EndlessPart, attempt_id: bytes) -> tuple[bytes, bytes]:
    """Return how an answer begins, and what is repeated without end."""
    chunked = _make_head(attempt_id, b"Transfer-Encoding: chunked")
    frame = b"%x\r\n%s\r\n" % (len(FILL), FILL)
    match part:
        case EndlessPart.CHUNKED_BODY:
            return chunked, frame
        case EndlessPart.UNFRAMED_BODY:
            return _make_head(attempt_id), FILL
        case EndlessPart.STATUS_LINE:
            return b"HTTP/1.1 200 ", FILL
        case EndlessPart.HEAD:
            return b"HTTP/1.1 200 OK\r\n", b"X-Fill: " + FILL[:1_000] + b"\r\n"
        case EndlessPart.INTERIM_HEADS:
            return b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1_000
        case EndlessPart.EARLIER_ANSWER:
            return _make_head(b"earlier", b"Transfer-Encoding: chunked"), frame
        case EndlessPart.CHUNK_EXTENSION:
            return chunked + b"1;x=", FILL
        case EndlessPart.HUGE_CHUNK:
            return chunked + b"f" * 15 + b"\r\n", FILL
        case EndlessPart.TRAILERS:
            return chunked + b"1\r\nx\r\n0\r\n", b"X-Fill: " + FILL[:1_000] + b"\r\n"


class _EndlessHandler(socketserver.StreamRequestHandler):
    """Answers the first request of a connection, and never ends the answer to the second."""

    server: _EndlessServer

    def handle(self) -> None:
        """Serve one connection."""
        with suppress(OSError):
            if self.server.part is EndlessPart.EARLIER_ANSWER:
                head = _make_head(self._read_request(), b"Content-Length: 0")
                self.wfile.write(head)
            begin, repeated = _answer(self.server.part, self._read_request())
            self.wfile.write(begin)
            with self.server.begun.get_lock():
                self.server.begun.value += 1
            repeated *= max(1, len(FILL) // len(repeated))
            while True:
                self.wfile.write(repeated)

    def _read_request(self) -> bytes:
        """Read the head of a request; return its id.

        Raises:
            OSError: The connection has ended.
        """
        lines = list(itertools.islice(iter(self.rfile.readline, b"\r\n"), MAX_HEAD_LINES))
        found = _ATTEMPT_ID.search(b"".join(lines))
        if found is None:
            raise ConnectionResetError
        return found.group(1)


class _EndlessServer(socketserver.ThreadingTCPServer):
    """A server whose answers never end; each connection has a thread of its own."""

    daemon_threads = True
    request_queue_size = 100

    def __init__(
        self, listener: socket.socket, part: EndlessPart, begun: Synchronized[int]
    ) -> None:
        super().__init__(listener.getsockname(), _EndlessHandler, bind_and_activate=False)
        self.socket.close()
        self.socket = listener
        self.server_activate()
        self.part = part
        self.begun = begun

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore a connection that ended."""


class EndlessEndpoints:
    """Endpoints whose answers never end, in a process of their own, so that others aren't slowed.

    Attributes:
        ports: Port of each endpoint.
    """

    def __init__(self, part: EndlessPart, count: int) -> None:
        listeners = [socket.create_server((ADDRESS, 0)) for _ in range(count)]
        self.ports: list[int] = [listener.getsockname()[1] for listener in listeners]
        context = multiprocessing.get_context("spawn")
        self._begun: Synchronized[int] = context.Value("q", 0)
        self._process = context.Process(
            target=_serve, args=(listeners, part, self._begun), daemon=True
        )
        self._process.start()
        for listener in listeners:
            listener.close()

    @property
    def begun_answers(self) -> int:
        """Number of answers without end that were begun."""
        return self._begun.value

    def stop(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.join()


def _serve(listeners: list[socket.socket], part: EndlessPart, begun: Synchronized[int]) -> None:
    """Serve all endpoints until the process ends."""
    servers = [_EndlessServer(listener, part, begun) for listener in listeners]
    threads = [threading.Thread(target=server.serve_forever) for server in servers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
