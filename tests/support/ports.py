"""Ports that stay reserved until the process under test listens on them."""

from __future__ import annotations

import socket

_RESERVED: list[socket.socket] = []


def reserve_port(address: str = "127.0.0.1") -> int:
    """Return an unused port that no other process is given until `release_ports`.

    The socket is bound but does not listen, so a server that sets `SO_REUSEADDR` can listen on
    the port meanwhile, and a connection to it is refused before that.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, 0))
    _RESERVED.append(sock)
    port: int = sock.getsockname()[1]
    return port


def release_ports() -> None:
    """Release all reserved ports."""
    for sock in _RESERVED:
        sock.close()
    _RESERVED.clear()
