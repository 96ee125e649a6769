"""Messages, views and events of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, NewType

import msgspec

from lagoonwing_core.ids import EndpointId, HostId, Incarnation
from lagoonwing_core.models import EndpointRecord, HostAddress
from lagoonwing_membership import const

# Identifies a group of entry hosts that share one endpoint table.
CellId = NewType("CellId", str)
# Times and ages. A negative age would keep a record beyond its TTL.
Milliseconds = Annotated[int, msgspec.Meta(ge=0)]


class HostState(Enum):
    """Liveness of an entry host as seen by the failure detector."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Intervals and timeouts, in seconds."""

    record_ttl_s: float = const.RECORD_TTL_S
    digest_period_s: float = const.DIGEST_PERIOD_S
    probe_period_s: float = const.PROBE_PERIOD_S
    probe_timeout_s: float = const.PROBE_TIMEOUT_S
    probe_end_s: float = const.PROBE_END_S
    suspicion_timeout_s: float = const.SUSPICION_TIMEOUT_S
    join_grace_s: float = const.JOIN_GRACE_S


@dataclass(frozen=True, slots=True)
class RemoteCell:
    """Initial contact hosts of another cell."""

    cell_id: CellId
    hosts: tuple[HostAddress, ...]


@dataclass(frozen=True, slots=True)
class CellSettings:
    """Identity of this host's cell and its initial contacts in other cells.

    Attributes:
        remotes: Some other cells; the rest are discovered from their summaries.
    """

    cell_id: CellId
    remotes: tuple[RemoteCell, ...] = ()


class Header(msgspec.Struct, frozen=True, array_like=True):
    """Timestamps that let the receiver bound a message's age without synchronized clocks.

    Attributes:
        incarnation: Incarnation of the sending process.
        to_incarnation: Incarnation of the receiver as the sender knows it; 0 if unknown.
        sent_ms: Sender's clock when the message was created.
        echo_ms: Latest `sent_ms` that the sender received from the receiver.
        held_ms: Time since the sender received `echo_ms`.
    """

    incarnation: Incarnation
    to_incarnation: Incarnation
    sent_ms: Milliseconds
    echo_ms: Milliseconds
    held_ms: Milliseconds


class HostUpdate(msgspec.Struct, frozen=True, array_like=True):
    """State of one entry host as gossiped between hosts.

    Attributes:
        refutation: Counter that the host increments to refute a suspicion.
    """

    address: HostAddress
    incarnation: Incarnation
    refutation: int
    state: HostState


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """Compact form of an endpoint's latest announcement, without the record.

    Attributes:
        content: Checksum of the record without its sequence; 0 if the record is not known.
        age_ms: Upper bound of the time since the endpoint announced it.
        left: Whether this incarnation of the endpoint has left.
    """

    endpoint_id: EndpointId
    incarnation: Incarnation
    sequence: int
    content: int
    age_ms: Milliseconds
    left: bool


class AgedRecord(msgspec.Struct, frozen=True, array_like=True):
    """Endpoint record with an upper bound of its age."""

    record: EndpointRecord
    age_ms: Milliseconds


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Direct probe of the receiver."""

    header: Header
    number: int
    hosts: tuple[HostUpdate, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag="ping_request"):
    """Request to the receiver to probe a third host."""

    header: Header
    number: int
    target: HostId
    hosts: tuple[HostUpdate, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """Confirms that `target` answered the probe with this number."""

    header: Header
    number: int
    target: HostId
    hosts: tuple[HostUpdate, ...] = ()


class Push(msgspec.Struct, frozen=True, array_like=True, tag="push"):
    """Pushes changes of endpoints and hosts."""

    header: Header
    renewals: tuple[Renewal, ...] = ()
    records: tuple[AgedRecord, ...] = ()
    hosts: tuple[HostUpdate, ...] = ()


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """Part of the sender's endpoint table; the receiver pulls the records that it lacks.

    Attributes:
        last: Whether this is the last part of the digest.
    """

    header: Header
    renewals: tuple[Renewal, ...]
    last: bool


class Summary(msgspec.Struct, frozen=True, array_like=True, tag="summary"):
    """Checksum of the sender's endpoint table; a receiver that differs replies with a digest."""

    header: Header
    checksum: int


class Pull(msgspec.Struct, frozen=True, array_like=True, tag="pull"):
    """Requests the records of endpoints."""

    header: Header
    endpoint_ids: tuple[EndpointId, ...]


class CapacityRow(msgspec.Struct, frozen=True, array_like=True):
    """Capacity of a cell for one model, stage or service.

    Attributes:
        key: `model/` and the model's id, or `service/` and the service's.
        first: First layer, for stages.
        end: Layer after the last, for stages; 0 otherwise.
        endpoints: Number of endpoints eligible for work.
        free_slots: Slots not in use as far as is known.
    """

    key: str
    first: int
    end: int
    endpoints: int
    slots: int
    free_slots: int
    tokens_per_s: int


class Representative(msgspec.Struct, frozen=True, array_like=True):
    """Host that gossips with other cells on behalf of its cell."""

    host_id: HostId
    address: str
    port: int


class CellSummary(msgspec.Struct, frozen=True, array_like=True):
    """Aggregated capacity of one cell, sent to other cells instead of its endpoint records.

    Attributes:
        number: Version of the summary; a higher one replaces a lower one.
        age_ms: Upper bound of the time since the summary was created.
    """

    cell_id: CellId
    number: int
    representatives: tuple[Representative, ...]
    rows: tuple[CapacityRow, ...]
    age_ms: Milliseconds


class CellVersion(msgspec.Struct, frozen=True, array_like=True):
    """Version of the summary that a host holds of a cell."""

    cell_id: CellId
    number: int


class CellDigest(msgspec.Struct, frozen=True, array_like=True, tag="cell_digest"):
    """Summary versions that the sender holds; the receiver replies with newer summaries.

    Attributes:
        sender: Address for replies.
        is_answer: Whether this replies to a digest; the receiver then sends no digest back.
    """

    header: Header
    cell_id: CellId
    sender: Representative
    versions: tuple[CellVersion, ...]
    is_answer: bool


class CellSummaries(msgspec.Struct, frozen=True, array_like=True, tag="cells"):
    """Summaries of cells.

    Attributes:
        is_excerpt: Whether rows are left out, as for hosts that don't represent their cell.
    """

    header: Header
    summaries: tuple[CellSummary, ...]
    is_excerpt: bool = False


MembershipMessage = (
    Ping | PingRequest | Ack | Push | Digest | Summary | Pull | CellDigest | CellSummaries
)


@dataclass(frozen=True, slots=True)
class Send:
    """Command: send a message to a host; delivery is not guaranteed."""

    to: HostAddress
    message: MembershipMessage


@dataclass(frozen=True, slots=True)
class HostView:
    """Current state of an entry host."""

    address: HostAddress
    incarnation: Incarnation
    state: HostState


@dataclass(frozen=True, slots=True)
class EndpointJoined:
    """An endpoint, or a new incarnation of it, became eligible for work."""

    endpoint_id: EndpointId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class EndpointLeft:
    """An endpoint announced that it leaves."""

    endpoint_id: EndpointId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class EndpointExpired:
    """The record of an endpoint expired without a renewal."""

    endpoint_id: EndpointId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class EndpointConflict:
    """Two addresses announce the same incarnation of an endpoint."""

    endpoint_id: EndpointId
    incarnation: Incarnation
    kept: str
    refused: str


@dataclass(frozen=True, slots=True)
class HostChanged:
    """The state of an entry host changed."""

    host_id: HostId
    incarnation: Incarnation
    state: HostState


MembershipEvent = EndpointJoined | EndpointLeft | EndpointExpired | EndpointConflict | HostChanged
