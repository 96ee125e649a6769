"""Cluster of entry hosts and fake endpoints in one event loop, with in-memory replicated state."""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec
from entry_client import (
    StreamedResponse,
    async_announce,
    async_fetch,
    chat,
    parse_streamed_response,
    request_bytes,
)
from entry_const import ADDRESS, ENDPOINT_KEY, HANG_TIMEOUT_S, MEMBER_KEY
from entry_control import InMemoryFollower, SharedControlState
from tornado.httpclient import HTTPResponse
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import FailureDomainId, HostId, Incarnation
from lagoonwing_core.models import HostAddress
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

_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(MembershipMessage)


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


class Cluster:
    """Entry hosts and fake endpoints; announcements are sent to every host."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.shared_state = SharedControlState()
        self.hosts: list[Host] = []
        self.fakes: dict[str, FakeEndpoint] = {}
        self._sequence = 0

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
        self._sequence += 1
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
