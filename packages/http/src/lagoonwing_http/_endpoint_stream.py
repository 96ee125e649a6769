"""Stream of a connection to an endpoint, which tells whether unread bytes wait."""

from __future__ import annotations

import socket

from tornado.iostream import IOStream

from lagoonwing_http.const import LOGGED_BYTES


class EndpointStream(IOStream):
    """A stream that counts received bytes and can look for those that wait in the kernel.

    Attributes:
        received_bytes: Number of bytes read from the socket.
    """

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(connection)
        self.received_bytes = 0
        self._connection = connection

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket into a buffer."""
        count = super().read_from_fd(buf)
        self.received_bytes += count or 0
        return count

    def peek(self) -> bytes | None:
        """Return the first bytes that wait in the kernel, none at its end, or `None`."""
        try:
            return self._connection.recv(LOGGED_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            return b""
