"""Authenticated MessagePack streams between processes."""

from __future__ import annotations

from lagoonwing_wire._channel import Channel, Handlers, outbound_only_handlers
from lagoonwing_wire._connections import ChannelServer, Link, async_connect
from lagoonwing_wire._framing import BYTE_COUNTERS, ByteCounters
from lagoonwing_wire._handshake import Identity

__all__ = [
    "BYTE_COUNTERS",
    "ByteCounters",
    "Channel",
    "ChannelServer",
    "Handlers",
    "Identity",
    "Link",
    "async_connect",
    "outbound_only_handlers",
]
