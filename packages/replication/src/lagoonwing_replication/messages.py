"""Messages between the shells of the replicas."""

from __future__ import annotations

import msgspec

from lagoonwing_consensus import Message, Replica
from lagoonwing_core.ids import ReplicaId


class Packet(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """One message of the core.

    Attributes:
        cluster_id: Log that the message belongs to.
    """

    version: int
    cluster_id: str
    message: Message


class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Ask whoever leads to take a replica in.

    Attributes:
        cluster_id: Log that the replica belongs to; empty if it belongs to none yet.
    """

    version: int
    cluster_id: str
    replica: Replica


class BootstrapRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ask a host for its part in a new log.

    Attributes:
        initiator_id: Replica that forms the log; its id names the log.
        binds: Whether the host must note for good that it belongs to this log.
    """

    version: int
    initiator_id: ReplicaId
    assigns_cluster: bool


class BootstrapReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Tell which replica a host has.

    Attributes:
        cluster_id: Log that the replica belongs to; empty if it belongs to none yet.
        is_empty: Whether it has neither entries nor a term.
    """

    version: int
    replica: Replica
    cluster_id: str
    is_empty: bool


PeerMessage = Packet | JoinRequest | BootstrapRequest | BootstrapReply
