"""Messages between replica hosts."""

from __future__ import annotations

import msgspec

from lagoonwing_consensus import Message, Replica
from lagoonwing_core.ids import ReplicaId


class Packet(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """One message between the consensus cores.

    Attributes:
        cluster_id: ID of the log that the message belongs to.
    """

    version: int
    cluster_id: str
    message: Message


class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Request to add a replica to the log, for the leader.

    Attributes:
        cluster_id: ID of the log that the replica belongs to; empty if it belongs to none yet.
    """

    version: int
    cluster_id: str
    replica: Replica


class BootstrapRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Request to a host to take part in the bootstrap of a new log.

    Attributes:
        initiator_id: Replica that bootstraps the log; its ID becomes the cluster ID.
        assigns_cluster: Whether the host must persist this cluster ID as its own.
    """

    version: int
    initiator_id: ReplicaId
    assigns_cluster: bool


class BootstrapReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Reply with the replica of a host.

    Attributes:
        cluster_id: ID of the log that the replica belongs to; empty if it belongs to none yet.
        is_empty: Whether the replica has neither entries nor a term.
    """

    version: int
    replica: Replica
    cluster_id: str
    is_empty: bool


PeerMessage = Packet | JoinRequest | BootstrapRequest | BootstrapReply
