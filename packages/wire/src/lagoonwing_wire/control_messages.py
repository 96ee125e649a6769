"""Messages of the `control` protocol, sent to control replicas by entry hosts and replicas."""

from __future__ import annotations

import msgspec

from lagoonwing_core.ids import (
    EndpointId,
    FailureDomainId,
    Fingerprint,
    HostId,
    IdempotencyKey,
    Incarnation,
    MemberId,
    ModelId,
    RequestId,
    Revision,
    ServiceId,
    StopId,
    Term,
)
from lagoonwing_core.models import CapDimension, Entity, LayerRange
from lagoonwing_core.result_codes import Outcome, ResultCode

PROTOCOL = "control"


class StoredResponse(msgspec.Struct, frozen=True, tag="stored_answer"):
    """Stored response of a claimed request, kept for replay."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    outcome: Outcome
    code: ResultCode


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """Reply: the call was rejected; with `NO_QUORUM` its outcome is unknown.

    Attributes:
        leader: Current leader as known to the replica, or empty.
    """

    code: ResultCode
    detail: str = ""
    leader: HostId = HostId("")


class EndpointSummary(msgspec.Struct, frozen=True, array_like=True):
    """Endpoint properties needed to check whether a planned stop is safe."""

    endpoint_id: EndpointId
    failure_domain: FailureDomainId
    models: tuple[ModelId, ...] = ()
    layers: LayerRange | None = None
    layer_count: int = 0
    service: ServiceId | None = None


class Contact(msgspec.Struct, frozen=True, tag="contact"):
    """Call: renew the configuration lease and report the sender's applied revision.

    Attributes:
        in_flight_by_stop: Requests in flight for each planned stop known to the sender.
        endpoints: Endpoints known to the sender, if they changed since its last contact
            with the leader of `term`.
        term: Term of the last leader known to the sender.
    """

    incarnation: Incarnation
    term: Term
    applied: Revision
    in_flight_by_stop: dict[StopId, int] = {}
    endpoints: tuple[EndpointSummary, ...] | None = None


class ContactReply(msgspec.Struct, frozen=True, tag="contact_reply"):
    """Reply of a leader that holds its lease.

    Attributes:
        revision: Revision at the leader; the lease is valid once the sender has applied it.
        voters: Voting replicas.
    """

    term: Term
    revision: Revision
    voters: tuple[HostId, ...]


class Probe(msgspec.Struct, frozen=True, tag="probe"):
    """Call: query the replica's view of the leader."""


class ProbeReply(msgspec.Struct, frozen=True, tag="probe_reply"):
    """Reply of a leader or follower.

    Attributes:
        knows_leader: Whether the replica leads or recently heard from a leader.
        leader: Leader host, or empty.
        applied: Revision applied by the replica.
        lost_hosts: Hosts that an operator declared lost on this replica.
    """

    term: Term
    knows_leader: bool
    leader: HostId
    applied: Revision
    lost_hosts: tuple[HostId, ...] = ()


class ListPage(msgspec.Struct, frozen=True, tag="list_page"):
    """Call: list one page of entities; an empty token requests the first page."""

    token: str = ""


class ListPageReply(msgspec.Struct, frozen=True, tag="list_page_reply"):
    """Reply: one page of entities as of `revision`.

    Later pages may be newer; a watch from the first page's revision delivers what changed since.
    """

    revision: Revision
    entities: tuple[Entity, ...]
    next_token: str


class Watch(msgspec.Struct, frozen=True, tag="watch"):
    """Call: push all changes after a revision on this channel."""

    after: Revision


class WatchStarted(msgspec.Struct, frozen=True, tag="watch_started"):
    """Reply: the watch is established; `revision` is the replica's current one."""

    revision: Revision


class Changes(msgspec.Struct, frozen=True, tag="changes"):
    """Push: changes up to `revision`, following those already pushed."""

    revision: Revision
    entities: tuple[Entity, ...]


class TakeClaim(msgspec.Struct, frozen=True, tag="take_claim"):
    """Call: claim the exclusive right to dispatch a non-idempotent request."""

    member_id: MemberId
    key: IdempotencyKey
    fingerprint: Fingerprint
    request_id: RequestId


class ClaimGranted(msgspec.Struct, frozen=True, tag="claim_granted"):
    """Reply: the sender has the exclusive right to dispatch."""


class ClaimReplay(msgspec.Struct, frozen=True, tag="claim_replay"):
    """Reply: the request was already executed; contains its stored response."""

    answer: StoredResponse


class ClaimInProgress(msgspec.Struct, frozen=True, tag="claim_in_progress"):
    """Reply: another request holds the claim and its outcome is unknown."""


class ClaimMismatch(msgspec.Struct, frozen=True, tag="claim_mismatch"):
    """Reply: the key was already used with a different body."""


class StoreOutcome(msgspec.Struct, frozen=True, tag="store_outcome"):
    """Call: store the response of a claimed request."""

    member_id: MemberId
    key: IdempotencyKey
    request_id: RequestId
    answer: StoredResponse


class ReleaseClaim(msgspec.Struct, frozen=True, tag="release_claim"):
    """Call: release a claim whose request provably was not executed."""

    member_id: MemberId
    key: IdempotencyKey
    request_id: RequestId


class Done(msgspec.Struct, frozen=True, tag="done"):
    """Reply: the call succeeded."""


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """An entry host's current and desired share of one cap.

    Attributes:
        held: Maximum amount that the entry host may use or is using now.
        wanted: Amount needed for all queued and running requests.
    """

    member_id: MemberId
    dimension: CapDimension
    held: float
    wanted: float


class RequestAllotments(msgspec.Struct, frozen=True, tag="request_allotments"):
    """Call: report current holdings and request shares of caps.

    Attributes:
        term: Term of the last leader known to the sender; replies with lower terms are ignored.
        sequence: Increases with each request of an incarnation; late replies are ignored.
    """

    incarnation: Incarnation
    term: Term
    sequence: int
    holdings: tuple[Holding, ...]


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Amount that the entry host may use until the lease expires."""

    member_id: MemberId
    dimension: CapDimension
    amount: float


class Allotments(msgspec.Struct, frozen=True, tag="allotments"):
    """Reply: granted shares, valid for `lease_s` from when the request was sent."""

    term: Term
    lease_s: float
    grants: tuple[Grant, ...]


class ReportSuspects(msgspec.Struct, frozen=True, tag="report_suspects"):
    """Call: an endpoint died while running these requests."""

    fingerprints: tuple[Fingerprint, ...]
    endpoint_id: EndpointId
    incarnation: Incarnation


class ClearSuspect(msgspec.Struct, frozen=True, tag="clear_suspect"):
    """Call: a suspected request ran to completion in isolation."""

    fingerprint: Fingerprint


class Forward(msgspec.Struct, frozen=True, tag="forward"):
    """Call between replicas: ask the leader to propose an encoded command."""

    command: bytes


class Forwarded(msgspec.Struct, frozen=True, tag="forwarded"):
    """Reply: the encoded result from the state machine."""

    answer: bytes


class Relay(msgspec.Struct, frozen=True, tag="relay"):
    """Call from an entry host that cannot reach the leader: relay an encoded call to it."""

    message: bytes


class Relayed(msgspec.Struct, frozen=True, tag="relayed"):
    """Call between replicas: a relayed call of an entry host."""

    host_id: HostId
    message: bytes


class RelayReply(msgspec.Struct, frozen=True, tag="relay_reply"):
    """Reply: the leader's encoded reply to the relayed call."""

    message: bytes


class ReadBarrier(msgspec.Struct, frozen=True, tag="read_barrier"):
    """Call between replicas: return a revision that covers all changes accepted so far."""


class BarrierPassed(msgspec.Struct, frozen=True, tag="barrier_passed"):
    """Reply of a leader that holds its lease."""

    revision: Revision


ClaimDecision = ClaimGranted | ClaimReplay | ClaimInProgress | ClaimMismatch

ControlMessage = (
    Refused
    | Contact
    | ContactReply
    | Probe
    | ProbeReply
    | ListPage
    | ListPageReply
    | Watch
    | WatchStarted
    | Changes
    | TakeClaim
    | ClaimGranted
    | ClaimReplay
    | ClaimInProgress
    | ClaimMismatch
    | StoreOutcome
    | ReleaseClaim
    | Done
    | RequestAllotments
    | Allotments
    | ReportSuspects
    | ClearSuspect
    | Forward
    | Forwarded
    | Relay
    | Relayed
    | RelayReply
    | ReadBarrier
    | BarrierPassed
)

CONTROL_DECODER: msgspec.msgpack.Decoder[ControlMessage] = msgspec.msgpack.Decoder(ControlMessage)
