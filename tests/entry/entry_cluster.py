"""Cluster of entry hosts and fake endpoints in one event loop, with in-memory replicated state."""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import msgspec
from expression import Error, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPResponse
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from lagoonwing_core.clock import LoopClock
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import (
    AgreementId,
    FailureDomainId,
    Fingerprint,
    HostId,
    Incarnation,
    MemberId,
    Revision,
)
from lagoonwing_core.models import (
    Agreement,
    EntityState,
    HostAddress,
    Member,
    Quarantine,
    QuarantineState,
)
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_entry import (
    AdapterSettings,
    AnnounceServerSettings,
    CallerServerSettings,
    EntryHost,
    EntrySettings,
)
from lagoonwing_entry.faults import FaultHook
from lagoonwing_entry.ports import ControlPort
from lagoonwing_fakes import FakeEndpoint, FakeKind, FakeSettings, FaultPlan
from lagoonwing_membership import Membership, MembershipMessage, MembershipSettings
from lagoonwing_policy import Scheduler, SchedulerSettings
from lagoonwing_wire import ChannelServer, Identity
from lagoonwing_wire.control_messages import (
    ClaimDecision,
    ClaimGranted,
    ClaimInProgress,
    ClaimMismatch,
    ClaimReplay,
    StoredResponse,
    TakeClaim,
)

MEMBER_KEY = "member-key"
ENDPOINT_KEY = "endpoint-key"
ADDRESS = "127.0.0.1"
# Ends a test that hangs.
HANG_TIMEOUT_S = 20.0
_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(MembershipMessage)


@dataclass
class SharedControlState:
    """In-memory claims and quarantines, shared by all hosts of a cluster."""

    claim_by_key: dict[tuple[str, str], TakeClaim] = field(default_factory=dict)
    answer_by_key: dict[tuple[str, str], StoredResponse] = field(default_factory=dict)
    lose_claim_replies: bool = False
    refuse_stores: bool = False
    suspects: list[tuple[Fingerprint, ...]] = field(default_factory=list)
    quarantine_by_fingerprint: dict[Fingerprint, Quarantine] = field(default_factory=dict)
    listeners: list[Callable[[], None]] = field(default_factory=list)

    def record_crash(self, fingerprints: Any, endpoint_id: Any, incarnation: Any) -> None:
        """Record suspects; a fingerprint is quarantined after it has crashed two endpoints."""
        self.suspects.append(fingerprints)
        for fingerprint in fingerprints:
            existing = self.quarantine_by_fingerprint.get(fingerprint)
            deaths = {*(existing.deaths if existing else ()), (endpoint_id, incarnation)}
            self.quarantine_by_fingerprint[fingerprint] = Quarantine(
                fingerprint=fingerprint,
                state=QuarantineState.SUSPECT if len(deaths) < 2 else QuarantineState.QUARANTINED,
                deaths=tuple(deaths),
                revision=Revision(2),
            )
        self._notify_listeners()

    def clear(self, fingerprint: Any) -> None:
        """Remove a suspect that completed in isolation."""
        self.quarantine_by_fingerprint.pop(fingerprint, None)
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        """Notify all hosts of a change."""
        for listener in list(self.listeners):
            listener()

    def claim(self, claim: TakeClaim) -> ClaimDecision:
        """Decide on a claim."""
        key = (claim.member_id, claim.key)
        existing = self.claim_by_key.get(key)
        if existing is None:
            self.claim_by_key[key] = claim
            return ClaimGranted()
        if existing.fingerprint != claim.fingerprint:
            return ClaimMismatch()
        if key in self.answer_by_key:
            return ClaimReplay(self.answer_by_key[key])
        return ClaimInProgress()


@dataclass
class InMemoryView:
    """In-memory copy of the replicated state."""

    revision: Revision = Revision(1)
    member_by_id: dict[Any, Any] = field(default_factory=dict)
    member_by_key_hash: dict[str, Any] = field(default_factory=dict)
    agreement_by_member: dict[Any, Any] = field(default_factory=dict)
    configuration_by_key: dict[Any, Any] = field(default_factory=dict)
    stop_by_id: dict[Any, Any] = field(default_factory=dict)
    quarantine_by_fingerprint: dict[Any, Any] = field(default_factory=dict)


class InMemoryFollower:
    """Follower of an in-memory replicated state."""

    def __init__(self, shared_state: SharedControlState) -> None:
        self.shared_state = shared_state
        self.view = InMemoryView(quarantine_by_fingerprint=shared_state.quarantine_by_fingerprint)
        self.lease_valid = True
        self.stop_reports: list[tuple[str, int]] = []
        self.add_member("m", MEMBER_KEY)

    def add_member(self, name: str, key: str) -> None:
        """Add a member with an agreement that sets no limits."""
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        revision = Revision(1)
        member = Member(
            member_id=MemberId(name),
            name=name,
            key_hashes=(key_hash,),
            state=EntityState.ACTIVE,
            revision=revision,
        )
        self.view.member_by_id[member.member_id] = member
        self.view.member_by_key_hash[key_hash] = member
        self.view.agreement_by_member[member.member_id] = Agreement(
            agreement_id=AgreementId(f"a-{name}"),
            member_id=member.member_id,
            weight=1.0,
            max_concurrency=None,
            max_requests_per_s=None,
            max_tokens_per_s=None,
            state=EntityState.ACTIVE,
            revision=revision,
        )

    def may_take_work(self) -> bool:
        """Return whether the lease is valid."""
        return self.lease_valid

    def add_listener(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Add a listener."""
        self.shared_state.listeners.append(listener)
        return lambda: self.shared_state.listeners.remove(listener)

    async def async_claim(self, claim: TakeClaim, timeout: float) -> Result[ClaimDecision, Refusal]:
        """Decide on a claim."""
        decision = self.shared_state.claim(claim)
        if self.shared_state.lose_claim_replies:
            return Error(Refusal(ResultCode.NO_QUORUM, "the reply was lost"))
        return Ok(decision)

    async def async_store_outcome(
        self, member_id: Any, key: Any, request_id: Any, answer: StoredResponse, timeout: float
    ) -> Result[None, Refusal]:
        """Store an outcome."""
        if self.shared_state.refuse_stores:
            return Error(Refusal(ResultCode.NO_QUORUM, "no quorum"))
        assert self.shared_state.claim_by_key[(member_id, key)].request_id == request_id
        self.shared_state.answer_by_key[(member_id, key)] = answer
        return Ok(None)

    async def async_release_claim(
        self, member_id: Any, key: Any, request_id: Any, timeout: float
    ) -> Result[None, Refusal]:
        """Release a claim."""
        existing = self.shared_state.claim_by_key.get((member_id, key))
        if existing is not None and existing.request_id == request_id:
            del self.shared_state.claim_by_key[(member_id, key)]
        return Ok(None)

    async def async_request_allotments(
        self, demands: Any, timeout: float
    ) -> Result[tuple[Any, ...], Refusal]:
        """Grant no allotments."""
        return Ok(())

    async def async_report_suspects(
        self, fingerprints: Any, endpoint_id: Any, incarnation: Any, timeout: float
    ) -> Result[None, Refusal]:
        """Record suspects."""
        self.shared_state.record_crash(fingerprints, endpoint_id, incarnation)
        return Ok(None)

    async def async_clear_suspect(self, fingerprint: Any, timeout: float) -> Result[None, Refusal]:
        """Clear a suspect."""
        self.shared_state.clear(fingerprint)
        return Ok(None)

    def set_endpoints(self, endpoints: Any) -> None:
        """Ignore the endpoints; planned stops are checked in the tests of control."""

    def report_stop(self, stop_id: Any, in_flight: int) -> None:
        """Record a stop report."""
        self.stop_reports.append((stop_id, in_flight))


@dataclass(frozen=True)
class StreamedResponse:
    """Parsed streamed response.

    Attributes:
        complete: Whether the chunked framing ended properly.
    """

    status: int
    headers: dict[str, str]
    events: list[Any]
    complete: bool

    @property
    def text(self) -> str:
        """Text of all tokens."""
        deltas = [event["choices"][0] for event in self.events if _has_choice(event)]
        return "".join(
            choice.get("text", "") or choice.get("delta", {}).get("content", "")
            for choice in deltas
        )

    @property
    def done(self) -> bool:
        """Whether the `[DONE]` event was received."""
        return "[DONE]" in self.events

    @property
    def last(self) -> Any:
        """Last event before `[DONE]`."""
        return [event for event in self.events if event != "[DONE]"][-1]


async def async_wait_until(condition: Callable[[], Any]) -> None:
    """Wait until a condition on state in the event loop or a fake endpoint's log holds.

    The logs and tables of the fake endpoints have no events to wait on, so this polls.
    """
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@dataclass(frozen=True)
class PeerPorts:
    """Ports on which the hosts of a cluster listen for each other."""

    port_by_host: dict[str, int]

    def address_of(self, name: str) -> HostAddress:
        """Return the peer address of a host."""
        return HostAddress(
            host_id=HostId(name),
            address=ADDRESS,
            port=self.port_by_host.get(name, 1),
            failure_domain=FailureDomainId("fd1"),
        )


class Host:
    """Entry host with an in-memory or given follower."""

    def __init__(
        self,
        name: str,
        shared_state: SharedControlState,
        faults: FaultHook | None = None,
        adapter: AdapterSettings | None = None,
        follower: ControlPort | None = None,
        peers: PeerPorts | None = None,
        **caller: Any,
    ) -> None:
        self.control = InMemoryFollower(shared_state)
        clock = LoopClock()
        key_hash = hashlib.sha256(ENDPOINT_KEY.encode()).hexdigest()
        settings = EntrySettings(
            host_id=HostId(name),
            failure_domain=FailureDomainId("fd1"),
            incarnation=time.time_ns() // 1_000_000,
            caller=CallerServerSettings(ADDRESS, 0, **caller),
            announce=AnnounceServerSettings(ADDRESS, 0, frozenset({key_hash}), renew_after_s=0.2),
            adapter=adapter or AdapterSettings(),
            stop_report_period_s=0.02,
        )
        plan = peers or PeerPorts({})
        own = plan.address_of(name)
        identity = Identity(HostId(name), b"key")
        self.channels = ChannelServer(identity, ADDRESS, own.port) if peers else None
        self.entry = EntryHost(
            settings=settings,
            identity=identity,
            clock=clock,
            scheduler=Scheduler(SchedulerSettings(), seed=1),
            membership=Membership(
                own,
                Incarnation(settings.incarnation),
                [plan.address_of(other) for other in plan.port_by_host],
                MembershipSettings(record_ttl_s=60.0, join_grace_s=0.0),
            ),
            membership_decoder=_DECODER,
            control=follower or self.control,
            channels=self.channels,
            faults=faults,
        )

    @property
    def caller_port(self) -> int:
        """Port for callers."""
        return self.entry.caller_server.port

    @property
    def announce_address(self) -> str:
        """Address for endpoint announcements."""
        return f"{ADDRESS}:{self.entry.announce_server.port}"

    async def async_request(
        self,
        path: str,
        body: Any = None,
        method: str = "POST",
        headers: dict[str, str] | None = None,
        key: str = MEMBER_KEY,
    ) -> HTTPResponse:
        """Send a request and return the complete response."""
        return await async_fetch(self.caller_port, path, body, method, headers, key)

    async def async_chat(self, prompt: str, **fields: Any) -> HTTPResponse:
        """Request a chat completion without streaming."""
        headers = fields.pop("headers", None)
        return await self.async_request(
            "/v1/chat/completions", chat(prompt, **fields), "POST", headers
        )

    async def async_stream(self, prompt: str, **fields: Any) -> StreamedResponse:
        """Request a streamed chat completion."""
        body = json.dumps(chat(prompt, stream=True, **fields)).encode()
        raw = await self.async_send_raw(request_bytes("/v1/chat/completions", body))
        return parse_streamed_response(raw)

    async def async_send_raw(self, data: bytes) -> bytes:
        """Send raw bytes and read until the host closes the connection."""
        stream = await TCPClient().connect(ADDRESS, self.caller_port)
        try:
            await stream.write(data)
            return await stream.read_until_close()
        except StreamClosedError:
            return b""
        finally:
            stream.close()


async def async_fetch(
    port: int,
    path: str,
    body: Any = None,
    method: str = "POST",
    headers: dict[str, str] | None = None,
    key: str = MEMBER_KEY,
) -> HTTPResponse:
    """Send a request to a caller port and return the complete response."""
    data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    return await AsyncHTTPClient().fetch(
        f"http://{ADDRESS}:{port}{path}",
        method=method,
        body=data,
        headers={"Authorization": f"Bearer {key}", **(headers or {})},
        raise_error=False,
        allow_nonstandard_methods=True,
    )


async def async_announce(address: str, record: dict[str, Any]) -> None:
    """Announce a record to a host."""
    response = await AsyncHTTPClient().fetch(
        f"http://{address}/announce",
        method="POST",
        body=json.dumps(record),
        headers={"Authorization": f"Bearer {ENDPOINT_KEY}"},
    )
    assert response.code == 200


class Cluster:
    """Entry hosts and fake endpoints; announcements are sent to every host."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.shared_state = SharedControlState()
        self.hosts: list[Host] = []
        self.fakes: dict[str, FakeEndpoint] = {}
        self._announcers: list[FakeEndpoint] = []

    async def async_add_host(self, **options: Any) -> Host:
        """Start another host."""
        host = Host(f"e{len(self.hosts) + 1}", self.shared_state, **options)
        await host.entry.async_setup()
        if host.channels is not None:
            await host.channels.async_setup()
        self.hosts.append(host)
        return host

    async def async_add_fake(
        self,
        kind: FakeKind,
        name: str,
        plan: FaultPlan | None = None,
        announced: bool = True,
        **options: Any,
    ) -> FakeEndpoint:
        """Start a fake endpoint and announce it to every host."""
        settings = FakeSettings(
            kind=kind,
            endpoint_id=name,
            address=ADDRESS,
            endpoint_key=ENDPOINT_KEY,
            log_path=str(self.folder / "endpoints.jsonl"),
            **options,
        )
        fake = FakeEndpoint(replace(settings, entries=()), plan)
        await fake.async_setup()
        self.fakes[name] = fake
        if announced:
            await self.async_announce(fake)
        return fake

    async def async_announce(self, fake: FakeEndpoint, state: str = "serving") -> None:
        """Announce a fake endpoint to every host and refresh the hosts' records."""
        self._sequence = getattr(self, "_sequence", 0) + 1
        await self.async_announce_record(
            {**fake.announcement_record(state), "sequence": self._sequence}
        )

    async def async_announce_record(self, record: dict[str, Any]) -> None:
        """Announce a record to every host and refresh the hosts' records."""
        for host in self.hosts:
            await async_announce(host.announce_address, record)
            host.entry.membership_service.refresh()

    async def async_add_pipeline(self, *ranges: tuple[str, int, int], **options: Any) -> None:
        """Start stages with the given layer ranges."""
        count = max(end for _, _, end in ranges)
        for name, first, end in ranges:
            await self.async_add_fake(
                FakeKind.STAGE, name, first=first, end=end, layer_count=count, **options
            )

    async def async_add_service(self, name: str, **options: Any) -> FakeEndpoint:
        """Start a service with an idempotent and a non-idempotent call."""
        calls = ("POST:/check:idempotent", "POST:/reserve:once")
        return await self.async_add_fake(
            FakeKind.SERVICE, name, service="names", calls=calls, **options
        )

    def endpoint_log(self, event: str | None = None) -> list[dict[str, Any]]:
        """Return the entries of the fake endpoints' log."""
        path = self.folder / "endpoints.jsonl"
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        return [line for line in lines if event is None or line["event"] == event]

    async def async_close(self) -> None:
        """Stop all hosts and fake endpoints."""
        for host in self.hosts:
            await host.entry.async_unload()
            if host.channels is not None:
                await host.channels.async_unload()
        for fake in self.fakes.values():
            await fake.async_unload()
        # Lets the servers' connection tasks notice that their streams are closed.
        await asyncio.sleep(0)


def chat(prompt: str, **fields: Any) -> dict[str, Any]:
    """Return the body of a chat completion."""
    return {"model": "m1", "messages": [{"role": "user", "content": prompt}], **fields}


def chat_prompt(prompt: str) -> str:
    """Return the prompt as the endpoints receive it."""
    return f"user: {prompt}"


def request_bytes(path: str, body: bytes, *headers: str, key: str = MEMBER_KEY) -> bytes:
    """Return a request that closes its connection."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: x",
        "Connection: close",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def parse_streamed_response(raw: bytes) -> StreamedResponse:
    """Return a parsed raw response."""
    head, _, body = raw.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
    complete = True
    if headers.get("transfer-encoding") == "chunked":
        body, complete = _dechunk(body)
    events = [
        payload if payload == "[DONE]" else json.loads(payload)
        for payload in (
            line[len("data: ") :] for line in body.decode().split("\n") if line.startswith("data: ")
        )
    ]
    return StreamedResponse(int(lines[0].split()[1]), headers, events, complete)


def _dechunk(body: bytes) -> tuple[bytes, bool]:
    """Return the data of a chunked body and whether the framing ended properly."""
    data = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        if int(size, 16) == 0:
            return data, body == b"\r\n"
        data += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return data, False


def _has_choice(event: Any) -> bool:
    """Return whether an event has a choice."""
    return isinstance(event, dict) and bool(event.get("choices"))
