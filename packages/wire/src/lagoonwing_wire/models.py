"""Handshake messages and the envelope of all later messages."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from lagoonwing_core.ids import HostId


class EnvelopeKind(IntEnum):
    """Kind of message."""

    PUSH = 0
    CALL = 1
    REPLY = 2
    PING = 3


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Content of one frame after the handshake.

    Attributes:
        correlation: Correlation number of a call and its reply; 0 for pushes and pings.
        body: Encoded protocol message.
    """

    kind: EnvelopeKind
    correlation: int
    body: msgspec.Raw


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """First frame, sent by the connecting side."""

    version: int
    host_id: HostId
    protocol: str
    nonce: bytes


class Challenge(msgspec.Struct, frozen=True, array_like=True):
    """Response of the listening side, with its proof of the shared key."""

    host_id: HostId
    nonce: bytes
    proof: bytes


class Proof(msgspec.Struct, frozen=True, array_like=True):
    """Proof of the shared key from the connecting side."""

    proof: bytes


class Accepted(msgspec.Struct, frozen=True, array_like=True):
    """Last frame of the handshake: the listening side has accepted the proof."""

    host_id: HostId
