"""Messages, views and events of membership."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, NewType

import msgspec

from lagoonwing_core.ids import EndpointId, HostId, Incarnation
from lagoonwing_core.models import EndpointRecord, HostAddress
from lagoonwing_membership import const

# Cell of entry hosts that know the same endpoints.
CellId = NewType("CellId", str)
# Times and ages; a negative age would keep a record beyond its life.
Milliseconds = Annotated[int, msgspec.Meta(ge=0)]


class HostState(Enum):
    """What is believed of an entry host."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Periods and timeouts, in seconds."""

    record_life_s: float = const.RECORD_LIFE_S
    digest_period_s: float = const.DIGEST_PERIOD_S
    probe_period_s: float = const.PROBE_PERIOD_S
    probe_timeout_s: float = const.PROBE_TIMEOUT_S
    probe_end_s: float = const.PROBE_END_S
    suspicion_timeout_s: float = const.SUSPICION_TIMEOUT_S
    join_grace_s: float = const.JOIN_GRACE_S


@dataclass(frozen=True, slots=True)
class RemoteCell:
    """Hosts of another cell to ask first."""

    cell_id: CellId
    hosts: tuple[HostAddress, ...]


@dataclass(frozen=True, slots=True)
class CellSettings:
    """Place of this host's cell among others.

    Attributes:
        remotes: Some other cells; the rest is learned from their summaries.
    """

    cell_id: CellId
    remotes: tuple[RemoteCell, ...] = ()


class Header(msgspec.Struct, frozen=True, array_like=True):
    """Times that let the receiver bound a message's age without a common clock.

    Attributes:
        incarnation: Incarnation of the sending process.
        to_incarnation: Incarnation of the receiver as the sender knows it; 0 if unknown.
        sent_ms: Sender's clock as the message was made.
        echo_ms: Latest `sent_ms` that the sender had from the receiver.
        held_ms: Time since the sender received it.
    """

    incarnation: Incarnation
    to_incarnation: Incarnation
    sent_ms: Milliseconds
    echo_ms: Milliseconds
    held_ms: Milliseconds


class HostNews(msgspec.Struct, frozen=True, array_like=True):
    """Belief about one entry host.

    Attributes:
        refutation: Number that the host raises to refute a suspicion.
    """

    address: HostAddress
    incarnation: Incarnation
    refutation: int
    state: HostState


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """Short form of an endpoint's latest announcement.

    Attributes:
        content: Checksum of the record without its sequence; 0 once it has left.
        age_ms: Upper bound of the time since the endpoint announced it.
        left: Whether the endpoint has left with this incarnation.
    """

    endpoint_id: EndpointId
    incarnation: Incarnation
    sequence: int
    content: int
    age_ms: Milliseconds
    left: bool


class AgedRecord(msgspec.Struct, frozen=True, array_like=True):
    """Endpoint record with an upper bound of its age in milliseconds."""

    record: EndpointRecord
    age_ms: Milliseconds


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Asks whether the receiver is alive."""

    header: Header
    number: int
    hosts: tuple[HostNews, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag="ping_request"):
    """Asks the receiver to probe a third host."""

    header: Header
    number: int
    target: HostId
    hosts: tuple[HostNews, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """Tells that `target` answered the probe with this number."""

    header: Header
    number: int
    target: HostId
    hosts: tuple[HostNews, ...] = ()


class Push(msgspec.Struct, frozen=True, array_like=True, tag="push"):
    """News of endpoints and hosts."""

    header: Header
    renewals: tuple[Renewal, ...] = ()
    records: tuple[AgedRecord, ...] = ()
    hosts: tuple[HostNews, ...] = ()


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """Part of what the sender knows of endpoints; the receiver pulls what it lacks.

    Attributes:
        last: Whether this is the last part.
    """

    header: Header
    renewals: tuple[Renewal, ...]
    last: bool


class Summary(msgspec.Struct, frozen=True, array_like=True, tag="summary"):
    """Checksum of what the sender knows; a receiver that differs answers with a digest."""

    header: Header
    checksum: int


class Pull(msgspec.Struct, frozen=True, array_like=True, tag="pull"):
    """Asks for the records of endpoints."""

    header: Header
    endpoint_ids: tuple[EndpointId, ...]


class CapacityRow(msgspec.Struct, frozen=True, array_like=True):
    """What a cell has for one kind of work.

    Attributes:
        key: `model/` and the model's id, or `service/` and the service's.
        first: First layer, for stages.
        end: Layer after the last, for stages; 0 otherwise.
        endpoints: Endpoints that may get work.
        free_slots: Slots that nothing is known to use.
    """

    key: str
    first: int
    end: int
    endpoints: int
    slots: int
    free_slots: int
    tokens_per_s: int


class Representative(msgspec.Struct, frozen=True, array_like=True):
    """A host that speaks for its cell."""

    host_id: HostId
    address: str
    port: int


class CellSummary(msgspec.Struct, frozen=True, array_like=True):
    """What one cell has, told to others in place of its endpoints.

    Attributes:
        number: Number of the summary; a higher one replaces a lower one.
        age_ms: Upper bound of the time since it was made.
    """

    cell_id: CellId
    number: int
    representatives: tuple[Representative, ...]
    rows: tuple[CapacityRow, ...]
    age_ms: Milliseconds


class CellVersion(msgspec.Struct, frozen=True, array_like=True):
    """Number of the summary of a cell that a host knows."""

    cell_id: CellId
    number: int


class CellDigest(msgspec.Struct, frozen=True, array_like=True, tag="cell_digest"):
    """Summaries that the sender knows; the receiver sends the later ones that it has.

    Attributes:
        sender: Where to answer.
        is_answer: Whether it answers a digest, and is not to be answered by another.
    """

    header: Header
    cell_id: CellId
    sender: Representative
    versions: tuple[CellVersion, ...]
    is_answer: bool


class CellSummaries(msgspec.Struct, frozen=True, array_like=True, tag="cells"):
    """Summaries of cells.

    Attributes:
        is_advice: Whether rows were left out, for hosts that don't represent their cell.
    """

    header: Header
    summaries: tuple[CellSummary, ...]
    is_advice: bool = False


MembershipMessage = (
    Ping | PingRequest | Ack | Push | Digest | Summary | Pull | CellDigest | CellSummaries
)


@dataclass(frozen=True, slots=True)
class Send:
    """Command: push a message to a host; it may be lost."""

    to: HostAddress
    message: MembershipMessage


@dataclass(frozen=True, slots=True)
class HostView:
    """What is believed of an entry host now."""

    address: HostAddress
    incarnation: Incarnation
    state: HostState


@dataclass(frozen=True, slots=True)
class EndpointJoined:
    """An endpoint, or a new incarnation of it, may get work."""

    endpoint_id: EndpointId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class EndpointLeft:
    """An endpoint has said that it leaves."""

    endpoint_id: EndpointId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class EndpointExpired:
    """An endpoint has fallen silent."""

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
    """The belief about an entry host has changed."""

    host_id: HostId
    incarnation: Incarnation
    state: HostState


MembershipEvent = EndpointJoined | EndpointLeft | EndpointExpired | EndpointConflict | HostChanged
