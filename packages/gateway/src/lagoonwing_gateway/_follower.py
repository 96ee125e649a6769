"""Local copy of the catalog, subscribed to one replica at a time."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

from expression import Result

from lagoonwing_catalog import RouteTable, decompress_document
from lagoonwing_catalog.messages import (
    CATALOG_DECODER,
    CatalogMessage,
    CrashExtract,
    Delta,
    Freshness,
    LimitExtract,
    LoadReport,
    LoadSummary,
    PeerGateway,
    PeerList,
    PermitGrant,
    Refused,
    ReplicaList,
    Subscribe,
    Subscribed,
)
from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import EndpointId, HostId, Revision
from lagoonwing_gateway._crash_tracker import CrashTracker
from lagoonwing_gateway._own_echo import OwnEcho
from lagoonwing_gateway._replica_links import ReplicaLinks
from lagoonwing_gateway._unreported_work import OthersLoad
from lagoonwing_gateway.const import (
    CRASH_PUSH_INTERVAL_S,
    FOLLOW_INTERVAL_S,
    INITIAL_GATEWAY_COUNT,
    LOAD_SUMMARY_TTL_S,
    MAX_LOGGED_ROUTES,
    MAX_SOURCE_AGE_S,
    REPORT_INTERVAL_S,
    SOURCE_TIMEOUT_S,
    SUBSCRIBE_TIMEOUT_S,
)
from lagoonwing_gateway.settings import GatewaySettings
from lagoonwing_wire import Channel, Handlers, Identity

_NO_SUMMARY = LoadSummary({})


class CatalogFollower:
    """Follows the catalog; the revision never decreases.

    Attributes:
        routes: Index of the active document; None before the first one is received.
        endpoint_by_id: Records of all endpoints.
        gateways: Number of live gateways; a conservative default until a replica reports it.
        peers: Gateways to which this one may hand requests over, as last told.
    """

    name = "catalog_follower"

    def __init__(
        self,
        settings: GatewaySettings,
        identity: Identity,
        clock: Clock,
        make_report: Callable[[], LoadReport],
        crash_tracker: CrashTracker,
    ) -> None:
        self.routes: RouteTable | None = None
        self.endpoint_by_id: dict[EndpointId, EndpointRecord] = {}
        self.gateways = INITIAL_GATEWAY_COUNT
        self.peers: tuple[PeerGateway, ...] = ()
        self._settings = settings
        self._clock = clock
        self._make_report = make_report
        self._crash_tracker = crash_tracker
        self._crash_receiver: Channel[Any] | None = None
        self._on_limit_message: Callable[[CatalogMessage], None] = _ignore_message
        self._revision = Revision(0)
        self._listeners: list[Callable[[], None]] = []
        self._load_listeners: list[Callable[[], None]] = []
        self._links = ReplicaLinks(identity, self._handlers(), settings.read_seeds)
        self._source: Channel[Any] | None = None
        self._source_last_message_at = -math.inf
        self._source_age = math.inf
        self._rejected_at_by_peer: dict[HostId, float] = {}
        self._own_echo = OwnEcho(clock)
        self._summary = _NO_SUMMARY
        self._summary_received_at = -math.inf
        self._tasks: list[asyncio.Task[None]] = []
        self._routes_available = asyncio.Event()

    async def async_setup(self) -> None:
        """Start following."""
        await self._links.async_refresh(with_seeds=True)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._async_follow()),
            loop.create_task(self._async_report()),
            loop.create_task(self._async_report_crashes()),
        ]

    async def async_unload(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        await self._links.async_unload()

    async def async_wait_for_routes(self, timeout: float) -> None:
        """Wait until a document is available, or until the timeout expires."""
        try:
            async with asyncio.timeout(timeout):
                await self._routes_available.wait()
        except TimeoutError:
            return

    @callback
    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for changes of routes or endpoints."""
        self._listeners.append(listener)

    @callback
    def add_load_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for each load summary and for permits."""
        self._load_listeners.append(listener)

    @callback
    def set_limit_handler(self, handler: Callable[[CatalogMessage], None]) -> None:
        """Set the callback for what the replica says of named limits and permits."""
        self._on_limit_message = handler

    @property
    def source(self) -> Channel[Any] | None:
        """Channel to the followed replica, if any."""
        return self._source

    def is_connected(self) -> bool:
        """Return whether the followed replica is current and responsive."""
        return self._is_source_current()

    @property
    def revision(self) -> Revision:
        """Last applied revision."""
        return self._revision

    def age(self) -> float:
        """Return the seconds since the copy was last known to be current."""
        return self._source_age + self._clock.now() - self._source_last_message_at

    def load_summary(self) -> LoadSummary:
        """Return the load of all other gateways; empty if it is outdated."""
        if self._clock.now() > self._summary_received_at + LOAD_SUMMARY_TTL_S:
            return _NO_SUMMARY
        return self._summary

    def load_age(self) -> float:
        """Return the seconds since the last load summary was received; infinite without any."""
        return self._clock.now() - self._summary_received_at

    def others_load(self) -> OthersLoad:
        """Return what is known of the other gateways.

        Without a current summary, their last known demand is still the best estimate of it.
        """
        age_s, summary = self.load_age(), self._summary
        if age_s > LOAD_SUMMARY_TTL_S:
            summary = LoadSummary({}, pressure_by_service=summary.pressure_by_service)
        return OthersLoad(summary, age_s, self.gateways)

    def _handlers(self) -> Handlers[CatalogMessage]:
        """Return the message handlers for a link."""

        async def async_reject_call(channel: Channel[Any], message: Any) -> Refused:
            raise NotImplementedError("the gateway does not serve calls")

        return Handlers(
            decoder=CATALOG_DECODER,
            on_push=self._on_push,
            async_on_call=async_reject_call,
            on_closed=self._on_closed,
        )

    @callback
    def _on_push(self, channel: Channel[Any], message: CatalogMessage) -> None:
        """Handle a message pushed by the followed replica."""
        if channel is not self._source:
            return
        match message:
            case Freshness(age_s=age_s, gateways=gateways):
                self._source_last_message_at = self._clock.now()
                self._source_age = age_s
                self.gateways = max(1, gateways)
            case Delta(after=after) if after > self._revision:
                # A change in between was not received; a new subscription brings all of them.
                log_event(EventCode.PEER_LOST, peer=channel.peer_id, reason="changes are missing")
                channel.close()
            case Delta():
                self._apply(message)
            case ReplicaList(replicas=replicas):
                self._links.set_replicas(replicas)
            case PeerList(peers=peers):
                self.peers = peers
            case LoadSummary():
                self._summary = self._own_echo.without_echo(message)
                self._summary_received_at = self._clock.now()
                self._notify_load_listeners()
            case CrashExtract():
                self._crash_tracker.merge(message)
            case LimitExtract() | PermitGrant():
                self._on_limit_message(message)
                self._notify_load_listeners()
            case _:
                log_event(
                    EventCode.PEER_REFUSED, peer=channel.peer_id, reason="unexpected push message"
                )

    @callback
    def _notify_load_listeners(self) -> None:
        """Tell that capacity may have become free elsewhere."""
        for listener in self._load_listeners:
            listener()

    @callback
    def _on_closed(self, channel: Channel[Any]) -> None:
        """Drop the source if its channel has closed."""
        if channel is self._source:
            self._source = None
            self._own_echo.record_lost_replica(self._source_last_message_at)

    @callback
    def _apply(self, delta: Delta) -> None:
        """Apply the changes of a delta atomically."""
        if delta.revision <= self._revision:
            return
        if delta.is_full:
            self.endpoint_by_id.clear()
        for record in delta.endpoints:
            self.endpoint_by_id[record.endpoint_id] = record
        if delta.document is not None:
            self.routes = RouteTable(decompress_document(delta.document))
            _log_shadowed_routes(self.routes)
            self._routes_available.set()
        self._revision = delta.revision
        log_event(
            EventCode.REVISION_APPLIED,
            revision=delta.revision,
            version=None if self.routes is None else self.routes.version,
            endpoints=len(delta.endpoints),
        )
        for listener in self._listeners:
            listener()

    async def _async_follow(self) -> None:
        """Keep a subscription to a current replica until cancelled."""
        while True:
            is_current = self._is_source_current()
            await self._links.async_refresh(with_seeds=not is_current)
            if not is_current:
                await self._async_change_source()
            await asyncio.sleep(FOLLOW_INTERVAL_S)

    def _is_source_current(self) -> bool:
        """Return whether the followed replica is current and responsive."""
        if self._source is None or self._source.closed:
            return False
        if self._clock.now() > self._source_last_message_at + SOURCE_TIMEOUT_S:
            return False
        return self._source_age <= MAX_SOURCE_AGE_S

    async def _async_change_source(self) -> None:
        """Subscribe to another replica; the one rejected least recently is tried first."""
        previous = self._source
        if previous is not None:
            self._source = None
            self._own_echo.record_lost_replica(self._source_last_message_at)
            self._rejected_at_by_peer[previous.peer_id] = self._clock.now()
            log_event(
                EventCode.PEER_LOST,
                peer=previous.peer_id,
                reason="replica is not current",
                age_s=round(self._source_age, 3),
                silent_s=round(self._clock.now() - self._source_last_message_at, 3),
            )
            # Ends the previous subscription; the link then reopens the channel.
            previous.close()
        channels = self._links.channels()
        channels.sort(key=lambda channel: self._rejected_at_by_peer.get(channel.peer_id, -math.inf))
        for channel in channels:
            if await self._async_subscribe(channel):
                return

    async def _async_subscribe(self, channel: Channel[Any]) -> bool:
        """Subscribe to a replica; return whether it accepts."""
        self._source = channel
        self._source_last_message_at = self._clock.now()
        self._source_age = MAX_SOURCE_AGE_S
        message = Subscribe(self._revision, self._settings.failure_domain, self._settings.handover)
        reply = await channel.async_call(message, SUBSCRIBE_TIMEOUT_S)
        match reply:
            case Result(tag="ok", ok=Subscribed(replicas=replicas, gateways=gateways)):
                self.gateways = max(1, gateways)
                log_event(EventCode.SOURCE_CHANGED, peer=channel.peer_id, after=message.after)
                self._links.set_replicas(replicas)
                return self._source is channel
            case Result(tag="error"):
                # The replica may have subscribed the gateway all the same.
                channel.close()
        self._rejected_at_by_peer[channel.peer_id] = self._clock.now()
        if self._source is channel:
            self._source = None
        return False

    async def _async_report(self) -> None:
        """Report the local load periodically."""
        while True:
            if self._source is not None:
                report = self._make_report()
                self._own_echo.record_report(report)
                self._source.push(report)
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _async_report_crashes(self) -> None:
        """Report known crashes when they change, and all of them to a new source."""
        while True:
            await asyncio.sleep(CRASH_PUSH_INTERVAL_S)
            source = self._source
            if source is None:
                continue
            extract = self._crash_tracker.take_extract(
                is_new_receiver=source is not self._crash_receiver
            )
            if extract is not None:
                source.push(extract)
            self._crash_receiver = source


def _log_shadowed_routes(routes: RouteTable) -> None:
    """Log the routes of a document, accepted by an older build, that get no requests."""
    for route, winner in routes.shadowed_routes[:MAX_LOGGED_ROUTES]:
        log_event(
            EventCode.ROUTE_SHADOWED,
            version=routes.version,
            route=route.route_id,
            host=route.host,
            prefix=route.path_prefix,
            by=winner.route_id,
            by_host=winner.host,
        )


def _ignore_message(message: CatalogMessage) -> None:
    """Ignore what is said of limits until a handler is set."""
