"""Which process of this machine holds the other end of a loopback connection."""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Iterable

_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG = 20
_REQUEST = 1
_ALL_STATES = 0xFFFFFFFF
_NO_COOKIE = 0xFFFFFFFF
_HEADER_BYTES = 16
# Offset of the inode in a reply: header, four bytes, 48 of the socket's id and four words.
_INODE_OFFSET = 84


def connection_owner(
    peer: tuple[str, int], own: tuple[str, int], process_ids: Iterable[int]
) -> int | None:
    """Return the process that holds the peer's end of a connection, if any does.

    Args:
        peer: IPv4 address and port of that end.
        own: IPv4 address and port of this end.
        process_ids: Processes that may hold it.
    """
    inode = _inode(peer, own)
    if inode is None:
        return None
    target = f"socket:[{inode}]"
    for process_id in process_ids:
        if target in _open_files(process_id):
            return process_id
    return None


def _inode(peer: tuple[str, int], own: tuple[str, int]) -> int | None:
    """Return the inode of the peer's socket of a connection.

    Asks the kernel for this one socket, since its table of all sockets takes long to read.
    """
    addresses = (*_packed(peer[0]), *_packed(own[0]))
    socket_id = struct.pack("!HH", peer[1], own[1]) + struct.pack(
        "=8I3I", *addresses, 0, _NO_COOKIE, _NO_COOKIE
    )
    body = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, _ALL_STATES) + socket_id
    header = struct.pack("=IHHII", _HEADER_BYTES + len(body), _SOCK_DIAG, _REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, _NETLINK_SOCK_DIAG) as kernel:
        kernel.send(header + body)
        reply = kernel.recv(4_096)
    if struct.unpack_from("=H", reply, 4)[0] != _SOCK_DIAG:
        return None
    inode: int = struct.unpack_from("=I", reply, _INODE_OFFSET)[0]
    return inode or None


def _packed(address: str) -> tuple[int, int, int, int]:
    """Return an address as the kernel's four words, of which IPv4 uses the first."""
    return (struct.unpack("=I", socket.inet_aton(address))[0], 0, 0, 0)


def _open_files(process_id: int) -> set[str]:
    """Return what the open files of a process refer to."""
    folder = f"/proc/{process_id}/fd"
    targets: set[str] = set()
    try:
        names = os.listdir(folder)
    except OSError:
        return targets
    for name in names:
        try:
            targets.add(os.readlink(f"{folder}/{name}"))
        except OSError:
            continue
    return targets
