"""Mutual authentication with a shared key before any message is accepted."""

from __future__ import annotations

import hmac
import secrets
from dataclasses import dataclass
from typing import TypeVar

import msgspec
from tornado.iostream import IOStream

from lagoonwing_core.ids import HostId
from lagoonwing_wire._framing import async_read_frame, write_frame
from lagoonwing_wire.const import (
    MAX_HANDSHAKE_FRAME_BYTES,
    NONCE_BYTES,
    PROTOCOL_VERSION,
)
from lagoonwing_wire.models import Accepted, Challenge, Hello, Proof

MessageT = TypeVar("MessageT")

_ENCODER = msgspec.msgpack.Encoder()


class HandshakeError(Exception):
    """The peer failed authentication, or uses an unsupported version or protocol."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this process towards its peers.

    Attributes:
        key: Key shared by all processes.
    """

    host_id: HostId
    key: bytes


@dataclass(frozen=True, slots=True)
class Session:
    """Result of a completed handshake."""

    peer_id: HostId
    protocol: str


async def async_connect_handshake(stream: IOStream, identity: Identity, protocol: str) -> Session:
    """Run the client side of the handshake.

    Raises:
        HandshakeError: The proof of the peer is invalid.
        StreamClosedError: The peer closed the stream.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = Hello(PROTOCOL_VERSION, identity.host_id, protocol, nonce)
    write_frame(stream, _ENCODER.encode(hello))
    challenge = await _async_read(stream, Challenge)
    transcript = _transcript(hello, challenge.host_id, challenge.nonce)
    if not hmac.compare_digest(challenge.proof, _proof(identity.key, b"server", transcript)):
        raise HandshakeError("invalid proof: the peer does not hold the shared key")
    write_frame(stream, _ENCODER.encode(Proof(_proof(identity.key, b"client", transcript))))
    accepted = await _async_read(stream, Accepted)
    return Session(peer_id=accepted.host_id, protocol=protocol)


async def async_accept_handshake(
    stream: IOStream, identity: Identity, protocols: frozenset[str]
) -> Session:
    """Run the server side of the handshake.

    Raises:
        HandshakeError: The version, protocol or proof of the peer is invalid.
        StreamClosedError: The peer closed the stream.
    """
    hello = await _async_read(stream, Hello)
    if hello.version != PROTOCOL_VERSION:
        raise HandshakeError(f"unsupported protocol version {hello.version}")
    if hello.protocol not in protocols:
        raise HandshakeError(f"unsupported protocol {hello.protocol!r}")
    nonce = secrets.token_bytes(NONCE_BYTES)
    transcript = _transcript(hello, identity.host_id, nonce)
    proof = _proof(identity.key, b"server", transcript)
    write_frame(stream, _ENCODER.encode(Challenge(identity.host_id, nonce, proof)))
    client_proof = await _async_read(stream, Proof)
    if not hmac.compare_digest(client_proof.proof, _proof(identity.key, b"client", transcript)):
        raise HandshakeError("invalid proof: the peer does not hold the shared key")
    write_frame(stream, _ENCODER.encode(Accepted(identity.host_id)))
    return Session(peer_id=hello.host_id, protocol=hello.protocol)


async def _async_read(stream: IOStream, kind: type[MessageT]) -> MessageT:
    """Read and decode one handshake message."""
    payload = await async_read_frame(stream, MAX_HANDSHAKE_FRAME_BYTES)
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except msgspec.MsgspecError as error:
        raise HandshakeError(f"malformed {kind.__name__}: {error}") from error


def _transcript(hello: Hello, server_id: HostId, server_nonce: bytes) -> bytes:
    """Return the handshake transcript that both proofs authenticate."""
    return _ENCODER.encode((hello, server_id, server_nonce))


def _proof(key: bytes, side: bytes, transcript: bytes) -> bytes:
    """Return the HMAC of one side over the transcript."""
    return hmac.digest(key, side + transcript, "sha256")
