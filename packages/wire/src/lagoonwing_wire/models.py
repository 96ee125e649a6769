"""Messages of the handshake and the envelope of every later message."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from lagoonwing_core.ids import HostId


class EnvelopeKind(IntEnum):
    """How a message is to be answered."""

    PUSH = 0
    CALL = 1
    REPLY = 2
    PING = 3


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One frame after the handshake.

    Attributes:
        correlation: Number that joins a call and its reply; 0 for a push.
        body: Encoded message of the protocol.
    """

    kind: EnvelopeKind
    correlation: int
    body: msgspec.Raw


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """First frame of the connecting side."""

    version: int
    host_id: HostId
    protocol: str
    nonce: bytes


class Challenge(msgspec.Struct, frozen=True, array_like=True):
    """Answer of the listening side, with its proof of the shared key."""

    host_id: HostId
    nonce: bytes
    proof: bytes


class Proof(msgspec.Struct, frozen=True, array_like=True):
    """Proof of the shared key by the connecting side."""

    proof: bytes


class Accepted(msgspec.Struct, frozen=True, array_like=True):
    """Last frame of the handshake: the listening side accepts the proof."""

    host_id: HostId
