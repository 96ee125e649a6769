"""HTTP server with a limit on open connections."""

from __future__ import annotations

from typing import Any

from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.web import Application

from lagoonwing_entry.const import (
    CONNECTION_IDLE_TIMEOUT_S,
    CONNECTION_READ_CHUNK_BYTES,
    MAX_HEADER_READ_BYTES,
)


class BoundedHTTPServer(HTTPServer):
    """Closes new connections above the limit."""

    max_connections: int

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve one accepted connection."""
        if len(self._connections) >= self.max_connections:
            stream.close()
            return
        stream.set_nodelay(True)
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._connections.discard(server_conn)


def bounded_server(application: Application, max_connections: int) -> BoundedHTTPServer:
    """Return a server with limits on connections and on memory per connection."""
    server = BoundedHTTPServer(
        application,
        idle_connection_timeout=CONNECTION_IDLE_TIMEOUT_S,
        max_header_size=MAX_HEADER_READ_BYTES,
        chunk_size=CONNECTION_READ_CHUNK_BYTES,
    )
    server.max_connections = max_connections
    return server
