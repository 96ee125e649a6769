"""Messages of the protocol "control": entry hosts and control replicas to control replicas."""

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


class StoredAnswer(msgspec.Struct, frozen=True, tag="stored_answer"):
    """Answer of a claimed request, kept for replay."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    outcome: Outcome
    code: ResultCode


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """Reply: nothing was done, or with `NO_QUORUM` it is not known.

    Attributes:
        leader: Host that leads as far as the replica knows, or empty.
    """

    code: ResultCode
    detail: str = ""
    leader: HostId = HostId("")


class EndpointSummary(msgspec.Struct, frozen=True, array_like=True):
    """What a planned stop's check needs to know of an endpoint."""

    endpoint_id: EndpointId
    failure_domain: FailureDomainId
    models: tuple[ModelId, ...] = ()
    layers: LayerRange | None = None
    layer_count: int = 0
    service: ServiceId | None = None


class Contact(msgspec.Struct, frozen=True, tag="contact"):
    """Call: renew the configuration lease and report what the sender has applied.

    Attributes:
        in_flight_by_stop: Requests in flight per planned stop that is in the sender's view.
        endpoints: Endpoints that the sender knows, if they changed since its last contact
            with the leader of `term`.
        term: Term of the leader that the sender last heard.
    """

    incarnation: Incarnation
    term: Term
    applied: Revision
    in_flight_by_stop: dict[StopId, int] = {}
    endpoints: tuple[EndpointSummary, ...] | None = None


class ContactReply(msgspec.Struct, frozen=True, tag="contact_reply"):
    """Reply of a leader under its lease.

    Attributes:
        revision: Revision at the leader; the lease counts once the sender has applied it.
        voters: Replicas that vote.
    """

    term: Term
    revision: Revision
    voters: tuple[HostId, ...]


class Probe(msgspec.Struct, frozen=True, tag="probe"):
    """Call: tell what the replica knows of a leader."""


class ProbeReply(msgspec.Struct, frozen=True, tag="probe_reply"):
    """Reply of any replica.

    Attributes:
        knows_leader: Whether the replica leads, or heard from a leader lately.
        leader: Host of that leader, or empty.
        applied: Revision that the replica has applied.
        lost_hosts: Hosts that an operator declared lost at this replica.
    """

    term: Term
    knows_leader: bool
    leader: HostId
    applied: Revision
    lost_hosts: tuple[HostId, ...] = ()


class ListPage(msgspec.Struct, frozen=True, tag="list_page"):
    """Call: give one page of the entities; an empty token is the first page."""

    token: str = ""


class ListPageReply(msgspec.Struct, frozen=True, tag="list_page_reply"):
    """Reply: one page, as of `revision`.

    A later page may be newer; a watch from the first page's revision repeats what changed.
    """

    revision: Revision
    entities: tuple[Entity, ...]
    next_token: str


class Watch(msgspec.Struct, frozen=True, tag="watch"):
    """Call: push every change after a revision on this channel."""

    after: Revision


class WatchStarted(msgspec.Struct, frozen=True, tag="watch_started"):
    """Reply: the watch runs; `revision` is the replica's own."""

    revision: Revision


class Changes(msgspec.Struct, frozen=True, tag="changes"):
    """Push: the changes up to `revision` that follow those pushed before."""

    revision: Revision
    entities: tuple[Entity, ...]


class TakeClaim(msgspec.Struct, frozen=True, tag="take_claim"):
    """Call: claim the right to dispatch a request that is not idempotent."""

    member_id: MemberId
    key: IdempotencyKey
    fingerprint: Fingerprint
    request_id: RequestId


class ClaimGranted(msgspec.Struct, frozen=True, tag="claim_granted"):
    """Reply: the caller, and nobody else, may dispatch."""


class ClaimReplay(msgspec.Struct, frozen=True, tag="claim_replay"):
    """Reply: the request ran before; this is its answer."""

    answer: StoredAnswer


class ClaimInProgress(msgspec.Struct, frozen=True, tag="claim_in_progress"):
    """Reply: another request holds the claim; whether it ran is not known."""


class ClaimMismatch(msgspec.Struct, frozen=True, tag="claim_mismatch"):
    """Reply: the key was used with another body."""


class StoreOutcome(msgspec.Struct, frozen=True, tag="store_outcome"):
    """Call: keep the answer of a claimed request."""

    member_id: MemberId
    key: IdempotencyKey
    request_id: RequestId
    answer: StoredAnswer


class ReleaseClaim(msgspec.Struct, frozen=True, tag="release_claim"):
    """Call: give a claim up, for the request provably did not run."""

    member_id: MemberId
    key: IdempotencyKey
    request_id: RequestId


class Done(msgspec.Struct, frozen=True, tag="done"):
    """Reply: accepted."""


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """What an entry host may be using of one cap, and what it would like.

    Attributes:
        held: Largest amount that the entry may use or is using now.
        wanted: Amount that would serve what is queued and running.
    """

    member_id: MemberId
    dimension: CapDimension
    held: float
    wanted: float


class RequestAllotments(msgspec.Struct, frozen=True, tag="request_allotments"):
    """Call: state what is held and ask for shares of caps.

    Attributes:
        term: Term of the leader that the sender last heard; it ignores replies of lower ones.
        sequence: Rises with each request of an incarnation; replies to lower ones are ignored.
    """

    incarnation: Incarnation
    term: Term
    sequence: int
    holdings: tuple[Holding, ...]


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Amount that the entry host may use until the lease ends."""

    member_id: MemberId
    dimension: CapDimension
    amount: float


class Allotments(msgspec.Struct, frozen=True, tag="allotments"):
    """Reply: shares, valid for `lease_s` counted from the sending of the request."""

    term: Term
    lease_s: float
    grants: tuple[Grant, ...]


class ReportSuspects(msgspec.Struct, frozen=True, tag="report_suspects"):
    """Call: an endpoint died while it ran these requests."""

    fingerprints: tuple[Fingerprint, ...]
    endpoint_id: EndpointId
    incarnation: Incarnation


class ClearSuspect(msgspec.Struct, frozen=True, tag="clear_suspect"):
    """Call: a suspect ran alone to its end."""

    fingerprint: Fingerprint


class Forward(msgspec.Struct, frozen=True, tag="forward"):
    """Call between replicas: propose an encoded command as the leader."""

    command: bytes


class Forwarded(msgspec.Struct, frozen=True, tag="forwarded"):
    """Reply: the state machine's encoded answer."""

    answer: bytes


class Relay(msgspec.Struct, frozen=True, tag="relay"):
    """Call of an entry host that can't reach the leader: pass an encoded call on to it."""

    message: bytes


class Relayed(msgspec.Struct, frozen=True, tag="relayed"):
    """Call between replicas: an entry host's encoded call."""

    host_id: HostId
    message: bytes


class RelayReply(msgspec.Struct, frozen=True, tag="relay_reply"):
    """Reply: the leader's encoded reply to the call passed on."""

    message: bytes


class ReadBarrier(msgspec.Struct, frozen=True, tag="read_barrier"):
    """Call between replicas: tell the revision of every change accepted until now."""


class BarrierPassed(msgspec.Struct, frozen=True, tag="barrier_passed"):
    """Reply of a leader under its lease."""

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
