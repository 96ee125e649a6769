"""Entry hosts and stand-ins in one event loop, with a durable state in memory."""

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
    StoredAnswer,
    TakeClaim,
)

MEMBER_KEY = "member-key"
ENDPOINT_KEY = "endpoint-key"
ADDRESS = "127.0.0.1"
# Ends a test that would hang; nothing is measured against it.
HANG_TIMEOUT_S = 20.0
_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(MembershipMessage)


@dataclass
class ClaimTable:
    """Claims as a quorum would hold them, shared by every host of a cell."""

    claim_by_key: dict[tuple[str, str], TakeClaim] = field(default_factory=dict)
    answer_by_key: dict[tuple[str, str], StoredAnswer] = field(default_factory=dict)
    lose_claim_answers: bool = False
    refuse_stores: bool = False
    suspects: list[tuple[Fingerprint, ...]] = field(default_factory=list)
    quarantine_by_fingerprint: dict[Fingerprint, Quarantine] = field(default_factory=dict)
    listeners: list[Callable[[], None]] = field(default_factory=list)

    def record_death(self, fingerprints: Any, endpoint_id: Any, incarnation: Any) -> None:
        """Keep suspects; the second endpoint that dies of one puts it into quarantine."""
        self.suspects.append(fingerprints)
        for fingerprint in fingerprints:
            held = self.quarantine_by_fingerprint.get(fingerprint)
            deaths = {*(held.deaths if held else ()), (endpoint_id, incarnation)}
            self.quarantine_by_fingerprint[fingerprint] = Quarantine(
                fingerprint=fingerprint,
                state=QuarantineState.SUSPECT if len(deaths) < 2 else QuarantineState.QUARANTINED,
                deaths=tuple(deaths),
                revision=Revision(2),
            )
        self._tell()

    def clear(self, fingerprint: Any) -> None:
        """Drop a suspect that ran alone to its end."""
        self.quarantine_by_fingerprint.pop(fingerprint, None)
        self._tell()

    def _tell(self) -> None:
        """Let every host take the change up."""
        for listener in list(self.listeners):
            listener()

    def claim(self, claim: TakeClaim) -> ClaimDecision:
        """Decide on a claim."""
        key = (claim.member_id, claim.key)
        held = self.claim_by_key.get(key)
        if held is None:
            self.claim_by_key[key] = claim
            return ClaimGranted()
        if held.fingerprint != claim.fingerprint:
            return ClaimMismatch()
        if key in self.answer_by_key:
            return ClaimReplay(self.answer_by_key[key])
        return ClaimInProgress()


@dataclass
class MemoryView:
    """Copy of the durable state."""

    revision: Revision = Revision(1)
    member_by_id: dict[Any, Any] = field(default_factory=dict)
    member_by_key_hash: dict[str, Any] = field(default_factory=dict)
    agreement_by_member: dict[Any, Any] = field(default_factory=dict)
    configuration_by_key: dict[Any, Any] = field(default_factory=dict)
    stop_by_id: dict[Any, Any] = field(default_factory=dict)
    quarantine_by_fingerprint: dict[Any, Any] = field(default_factory=dict)


class MemoryControl:
    """Follower of a durable state in memory."""

    def __init__(self, table: ClaimTable) -> None:
        self.table = table
        self.view = MemoryView(quarantine_by_fingerprint=table.quarantine_by_fingerprint)
        self.lease = True
        self.stop_reports: list[tuple[str, int]] = []
        self.add_member("m", MEMBER_KEY)

    def add_member(self, name: str, key: str) -> None:
        """Add a member with an agreement without caps."""
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
        """Return whether the lease is in force."""
        return self.lease

    def add_listener(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Add a listener."""
        self.table.listeners.append(listener)
        return lambda: self.table.listeners.remove(listener)

    async def async_claim(self, claim: TakeClaim, timeout: float) -> Result[ClaimDecision, Refusal]:
        """Claim."""
        decision = self.table.claim(claim)
        if self.table.lose_claim_answers:
            return Error(Refusal(ResultCode.NO_QUORUM, "the answer was lost"))
        return Ok(decision)

    async def async_store_outcome(
        self, member_id: Any, key: Any, request_id: Any, answer: StoredAnswer, timeout: float
    ) -> Result[None, Refusal]:
        """Store."""
        if self.table.refuse_stores:
            return Error(Refusal(ResultCode.NO_QUORUM, "no quorum"))
        assert self.table.claim_by_key[(member_id, key)].request_id == request_id
        self.table.answer_by_key[(member_id, key)] = answer
        return Ok(None)

    async def async_release_claim(
        self, member_id: Any, key: Any, request_id: Any, timeout: float
    ) -> Result[None, Refusal]:
        """Release."""
        held = self.table.claim_by_key.get((member_id, key))
        if held is not None and held.request_id == request_id:
            del self.table.claim_by_key[(member_id, key)]
        return Ok(None)

    async def async_request_allotments(
        self, demands: Any, timeout: float
    ) -> Result[tuple[Any, ...], Refusal]:
        """Grant nothing."""
        return Ok(())

    async def async_report_suspects(
        self, fingerprints: Any, endpoint_id: Any, incarnation: Any, timeout: float
    ) -> Result[None, Refusal]:
        """Record."""
        self.table.record_death(fingerprints, endpoint_id, incarnation)
        return Ok(None)

    async def async_clear_suspect(self, fingerprint: Any, timeout: float) -> Result[None, Refusal]:
        """Clear."""
        self.table.clear(fingerprint)
        return Ok(None)

    def set_endpoints(self, endpoints: Any) -> None:
        """Ignore the endpoints; control's own tests check planned stops."""

    def report_stop(self, stop_id: Any, in_flight: int) -> None:
        """Note."""
        self.stop_reports.append((stop_id, in_flight))


@dataclass(frozen=True)
class StreamedAnswer:
    """Raw streamed answer.

    Attributes:
        whole: Whether the chunked framing came to its proper end.
    """

    status: int
    headers: dict[str, str]
    events: list[Any]
    whole: bool

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
        """Whether the end mark came."""
        return "[DONE]" in self.events

    @property
    def last(self) -> Any:
        """Last event but the end mark."""
        return [event for event in self.events if event != "[DONE]"][-1]


async def async_until(condition: Callable[[], Any]) -> None:
    """Wait until something in the same event loop, or a stand-in's log, shows what is waited for.

    The stand-ins' logs and tables have no events to wait on.
    """
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@dataclass(frozen=True)
class PeerPlan:
    """Ports on which the hosts of a cell listen for each other."""

    port_by_host: dict[str, int]

    def address_of(self, name: str) -> HostAddress:
        """Return where a host listens."""
        return HostAddress(
            host_id=HostId(name),
            address=ADDRESS,
            port=self.port_by_host.get(name, 1),
            failure_domain=FailureDomainId("fd1"),
        )


class Host:
    """One entry host with its control."""

    def __init__(
        self,
        name: str,
        table: ClaimTable,
        faults: FaultHook | None = None,
        adapter: AdapterSettings | None = None,
        follower: ControlPort | None = None,
        peers: PeerPlan | None = None,
        **caller: Any,
    ) -> None:
        self.control = MemoryControl(table)
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
        plan = peers or PeerPlan({})
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
                MembershipSettings(record_life_s=60.0, join_grace_s=0.0),
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
        """Where endpoints announce."""
        return f"{ADDRESS}:{self.entry.announce_server.port}"

    async def async_request(
        self,
        path: str,
        body: Any = None,
        method: str = "POST",
        headers: dict[str, str] | None = None,
        key: str = MEMBER_KEY,
    ) -> HTTPResponse:
        """Ask and read the whole answer."""
        return await async_ask(self.caller_port, path, body, method, headers, key)

    async def async_chat(self, prompt: str, **fields: Any) -> HTTPResponse:
        """Ask for a whole chat completion."""
        headers = fields.pop("headers", None)
        return await self.async_request(
            "/v1/chat/completions", chat(prompt, **fields), "POST", headers
        )

    async def async_stream(self, prompt: str, **fields: Any) -> StreamedAnswer:
        """Ask for a streamed chat completion."""
        body = json.dumps(chat(prompt, stream=True, **fields)).encode()
        raw = await self.async_raw(request_bytes("/v1/chat/completions", body))
        return parse_stream(raw)

    async def async_raw(self, data: bytes) -> bytes:
        """Send bytes and read until the host closes the connection."""
        stream = await TCPClient().connect(ADDRESS, self.caller_port)
        try:
            await stream.write(data)
            return await stream.read_until_close()
        except StreamClosedError:
            return b""
        finally:
            stream.close()


async def async_ask(
    port: int,
    path: str,
    body: Any = None,
    method: str = "POST",
    headers: dict[str, str] | None = None,
    key: str = MEMBER_KEY,
) -> HTTPResponse:
    """Ask a host on a caller port and read the whole answer."""
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
    answer = await AsyncHTTPClient().fetch(
        f"http://{address}/announce",
        method="POST",
        body=json.dumps(record),
        headers={"Authorization": f"Bearer {ENDPOINT_KEY}"},
    )
    assert answer.code == 200


class Cell:
    """Hosts and stand-ins; every host gets every announcement."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.table = ClaimTable()
        self.hosts: list[Host] = []
        self.fakes: dict[str, FakeEndpoint] = {}
        self._announcers: list[FakeEndpoint] = []

    async def async_add_host(self, **options: Any) -> Host:
        """Start one more host."""
        host = Host(f"e{len(self.hosts) + 1}", self.table, **options)
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
        """Start a stand-in and announce it to every host."""
        settings = FakeSettings(
            kind=kind,
            endpoint_id=name,
            address=ADDRESS,
            endpoint_key=ENDPOINT_KEY,
            log_path=str(self.folder / "truth.jsonl"),
            **options,
        )
        fake = FakeEndpoint(replace(settings, entries=()), plan)
        await fake.async_setup()
        self.fakes[name] = fake
        if announced:
            await self.async_announce(fake)
        return fake

    async def async_announce(self, fake: FakeEndpoint, state: str = "serving") -> None:
        """Announce a stand-in to every host and let the records be taken up."""
        self._sequence = getattr(self, "_sequence", 0) + 1
        await self.async_announce_record({**fake.record(state), "sequence": self._sequence})

    async def async_announce_record(self, record: dict[str, Any]) -> None:
        """Announce a record to every host and let it be taken up."""
        for host in self.hosts:
            await async_announce(host.announce_address, record)
            host.entry.membership_service.refresh()

    async def async_add_pipeline(self, *ranges: tuple[str, int, int], **options: Any) -> None:
        """Start stages with layer ranges."""
        count = max(end for _, _, end in ranges)
        for name, first, end in ranges:
            await self.async_add_fake(
                FakeKind.STAGE, name, first=first, end=end, layer_count=count, **options
            )

    async def async_add_service(self, name: str, **options: Any) -> FakeEndpoint:
        """Start a service with one call of each kind."""
        calls = ("POST:/check:idempotent", "POST:/reserve:once")
        return await self.async_add_fake(
            FakeKind.SERVICE, name, service="names", calls=calls, **options
        )

    def truth(self, event: str | None = None) -> list[dict[str, Any]]:
        """Return what the stand-ins ran."""
        path = self.folder / "truth.jsonl"
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        return [line for line in lines if event is None or line["event"] == event]

    async def async_close(self) -> None:
        """Stop everything."""
        for host in self.hosts:
            await host.entry.async_unload()
            if host.channels is not None:
                await host.channels.async_unload()
        for fake in self.fakes.values():
            await fake.async_unload()
        # Lets the servers' connection tasks see that their streams are closed.
        await asyncio.sleep(0)


def chat(prompt: str, **fields: Any) -> dict[str, Any]:
    """Return the body of a chat completion."""
    return {"model": "m1", "messages": [{"role": "user", "content": prompt}], **fields}


def chat_prompt(prompt: str) -> str:
    """Return the prompt as the endpoints see it."""
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


def parse_stream(raw: bytes) -> StreamedAnswer:
    """Return a raw answer in parts."""
    head, _, body = raw.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
    whole = True
    if headers.get("transfer-encoding") == "chunked":
        body, whole = _dechunk(body)
    events = [
        payload if payload == "[DONE]" else json.loads(payload)
        for payload in (
            line[len("data: ") :] for line in body.decode().split("\n") if line.startswith("data: ")
        )
    ]
    return StreamedAnswer(int(lines[0].split()[1]), headers, events, whole)


def _dechunk(body: bytes) -> tuple[bytes, bool]:
    """Return the data of a chunked body and whether it came to its proper end."""
    data = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        if int(size, 16) == 0:
            return data, body == b"\r\n"
        data += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return data, False


def _has_choice(event: Any) -> bool:
    """Return whether an event carries a choice."""
    return isinstance(event, dict) and bool(event.get("choices"))
