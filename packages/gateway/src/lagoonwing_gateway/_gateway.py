"""Gateway component: routing, authentication, dispatch and draining."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from collections.abc import Callable

from aioprometheus.collectors import Registry

from lagoonwing_catalog.messages import LoadReport
from lagoonwing_catalog.models import EndpointRecord, RequestKind
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import EndpointId, ServiceId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_core.tasks import TaskSet
from lagoonwing_gateway._admission_queue import AdmissionQueue
from lagoonwing_gateway._answer_times import AnswerTimes
from lagoonwing_gateway._call_handler import CallHandler
from lagoonwing_gateway._components import GatewayComponents
from lagoonwing_gateway._connection_pool import EndpointConnectionPool
from lagoonwing_gateway._crash_tracker import CrashTracker
from lagoonwing_gateway._directory import EndpointDirectory
from lagoonwing_gateway._endpoint_client import EndpointClient
from lagoonwing_gateway._endpoint_limiter import EndpointLimiter
from lagoonwing_gateway._endpoint_notices import EndpointNotices
from lagoonwing_gateway._follower import CatalogFollower
from lagoonwing_gateway._handover import Handover
from lagoonwing_gateway._handover_client import HandoverClient
from lagoonwing_gateway._handover_relay import HandoverRelay
from lagoonwing_gateway._limit_reporter import LimitReporter
from lagoonwing_gateway._limit_tracker import LimitTracker
from lagoonwing_gateway._load_reporter import LoadReporter
from lagoonwing_gateway._load_tracker import LoadTracker
from lagoonwing_gateway._pace_tracker import PaceTracker
from lagoonwing_gateway._peer_table import PeerTable
from lagoonwing_gateway._reach import ReachMonitor
from lagoonwing_gateway._reach_probe import async_probe_reach
from lagoonwing_gateway._refusals import (
    not_run_refusal,
    permanent_refusal,
    quarantine_refusal,
    unknown_outcome_refusal,
)
from lagoonwing_gateway._request_log import log_refusal
from lagoonwing_gateway._request_resolver import RequestResolver
from lagoonwing_gateway._retry_budget import RetryBudget
from lagoonwing_gateway._slowdown import SlowdownTracker
from lagoonwing_gateway._started_work import StartedWork
from lagoonwing_gateway._stream_handler import StreamHandler
from lagoonwing_gateway._suspicions import SuspicionTracker
from lagoonwing_gateway._unreported_work import UnreportedWork
from lagoonwing_gateway._watchdog import Watchdog
from lagoonwing_gateway.const import (
    DRAIN_IDLE_CLOSE_S,
    DRAIN_MARGIN_S,
    DRAIN_REJECT_LONG_S,
    LAST_ANSWERS_S,
    MAX_REQUEST_BODIES_BYTES,
    MAX_RESPONSES_BYTES,
    MAX_STARTUP_WAIT_S,
    PACE_UPDATE_INTERVAL_S,
    STARTUP_HOLD_S,
    STARTUP_WAIT_SHARE,
)
from lagoonwing_gateway.diagnostics import GatewayMetrics
from lagoonwing_gateway.models import (
    CallerRequest,
    ConnectionReason,
    GatewayRefusal,
    RequestContext,
)
from lagoonwing_gateway.ports import Dialect, Responder
from lagoonwing_gateway.settings import GatewaySettings
from lagoonwing_http import BodyBudget, ReadTurns, ResponseBudget
from lagoonwing_wire import Identity

_PRUNE_INTERVAL_S = 1.0


class Gateway:
    """Reverse proxy between callers and endpoints.

    Attributes:
        follower: Local copy of the catalog.
        is_draining: Whether the process is shutting down.
        body_budget: Limit on the bytes of all request bodies; those of a request that is served
            are released when it ends.
        response_budget: Limit on the bytes of all responses.
        read_turns: Turns of connections, to callers and endpoints, that read at full speed.
    """

    name = "gateway"

    def __init__(
        self,
        settings: GatewaySettings,
        identity: Identity,
        dialect: Dialect,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.is_draining = False
        self.body_budget = BodyBudget(MAX_REQUEST_BODIES_BYTES)
        self.response_budget = ResponseBudget(MAX_RESPONSES_BYTES)
        self.read_turns = ReadTurns()
        self.metrics = GatewayMetrics()
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._suspicions = SuspicionTracker(clock)
        self._load_tracker = LoadTracker(self._wake_admission)
        self._started_work = StartedWork(clock)
        self._crash_tracker = CrashTracker(clock)
        self._pace_tracker = PaceTracker(clock)
        self.follower = CatalogFollower(
            settings, identity, clock, self._load_report, self._crash_tracker
        )
        self._unreported_work = UnreportedWork(
            self.follower.others_load, self._started_work, clock, rng
        )
        self._connection_pool = EndpointConnectionPool(
            clock,
            self.metrics.unrequested_bytes,
            self.metrics.connection_opened,
            self.read_turns,
        )
        self._limits = LimitTracker(clock, lambda: self.follower.endpoint_by_id)
        self._notices = EndpointNotices(
            self._limits, lambda: self.follower.endpoint_by_id, clock, rng
        )
        self._notices.add_listener(self._on_endpoint_declines)
        limiter = EndpointLimiter(
            self._limits,
            clock,
            rng,
            lambda: self.follower.gateways,
            lambda: self.follower.is_connected(),
        )
        self._limit_reporter = LimitReporter(self.follower, self._limits, limiter)
        self._admission_queue = AdmissionQueue(
            settings.admission,
            clock,
            rng,
            self.follower.load_summary,
            self.follower.load_age,
            lambda: self.follower.gateways,
            self.metrics,
        )
        self.follower.add_listener(self._wake_admission)
        self.follower.add_load_listener(self._wake_admission)
        slowdown = SlowdownTracker()
        self._directory = EndpointDirectory(
            self.follower, self._suspicions, clock, self._notices.may_send
        )
        self._watchdog = Watchdog(
            self._directory, self._suspicions, clock, self.metrics.connection_opened, rng
        )
        answer_times = AnswerTimes(clock)
        self._reach = ReachMonitor(
            self._directory,
            self._suspicions,
            answer_times,
            clock,
            rng,
            self._async_probe_endpoint,
        )
        self._reach.add_listener(self._on_reach_changed)
        self._handover_client = HandoverClient(
            identity, self.response_budget, clock, self.read_turns
        )
        self._handover = Handover(
            self._handover_client,
            PeerTable(lambda: self.follower.peers, clock, rng),
            self._reach,
            self.follower,
            clock,
            self.metrics,
        )
        components = GatewayComponents(
            failure_domain=settings.failure_domain,
            follower=self.follower,
            directory=self._directory,
            suspicions=self._suspicions,
            watchdog=self._watchdog,
            slowdown=slowdown,
            pace_tracker=self._pace_tracker,
            load_tracker=self._load_tracker,
            unreported_work=self._unreported_work,
            budget=RetryBudget(settings.retry_budget, clock),
            crash_tracker=self._crash_tracker,
            notices=self._notices,
            limiter=limiter,
            handover=self._handover,
            handover_relay=HandoverRelay(self._handover, dialect, clock),
            admission_queue=self._admission_queue,
            endpoint_client=EndpointClient(
                dialect,
                self._connection_pool,
                self._notices,
                answer_times,
                self.response_budget,
                clock,
            ),
            dialect=dialect,
            response_budget=self.response_budget,
            metrics=self.metrics,
            clock=clock,
            rng=rng,
        )
        self._resolver = RequestResolver(self.follower, clock, rng)
        self._load_reporter = LoadReporter(
            self._load_tracker,
            self._unreported_work,
            self._started_work,
            self._admission_queue,
            self._pace_tracker,
            self._directory,
            self._reach,
        )
        self._call_handler = CallHandler(components)
        self._stream_handler = StreamHandler(components)
        self._active_requests = 0
        self._started_at = clock.now()
        self._drain_started_at: float | None = None
        self._close_idle_callers: Callable[[], None] = _no_idle_connections
        self._idle = asyncio.Event()
        self._idle.set()
        self._tasks: list[asyncio.Task[None]] = []
        self._background = TaskSet(self.name)

    async def async_setup(self) -> None:
        """Start serving."""
        await self.follower.async_setup()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._async_prune()),
            loop.create_task(self._async_update_pace()),
            loop.create_task(self._watchdog.async_run()),
            loop.create_task(self._reach.async_run()),
            loop.create_task(self._limit_reporter.async_run()),
        ]

    async def async_unload(self) -> None:
        """Stop serving."""
        for task in self._tasks:
            task.cancel()
        await self._background.async_cancel()
        await self._watchdog.async_unload()
        await self._reach.async_unload()
        await self.follower.async_unload()
        self._connection_pool.close()
        self._handover_client.close()

    @property
    def active_requests(self) -> int:
        """Number of active requests."""
        return self._active_requests

    def is_ready(self) -> bool:
        """Return whether the gateway accepts new connections."""
        return self.follower.routes is not None and not self.is_draining

    @callback
    def collect_metrics(self) -> Registry:
        """Return the metrics with current values."""
        routes = self.follower.routes
        age = self.follower.age()
        self.metrics.set_gauge("revision", self.follower.revision)
        self.metrics.set_gauge("document_version", 0 if routes is None else routes.version)
        self.metrics.set_gauge("current_age_seconds", -1.0 if math.isinf(age) else age)
        self.metrics.set_gauge("gateways", self.follower.gateways)
        suspected = len(self._suspicions.suspected())
        reported = self._directory.reported_suspects(self._reach.doubtful_services())
        unreported = suspected - len(reported)
        self.metrics.set_gauge("suspected_endpoints", suspected)
        self.metrics.set_gauge("unreported_suspects", unreported)
        told = len(self.follower.load_summary().suspects)
        self.metrics.set_gauge("suspects_of_others", told)
        self.metrics.set_gauge("unreachable_services", len(self._reach.unreachable_services()))
        self.metrics.set_gauge("slow_endpoints", self._pace_tracker.slow_count)
        self.metrics.set_gauge("traits_with_crashes", self._crash_tracker.trait_count)
        self.metrics.set_gauge("leaving_endpoints", self._notices.leaving_count)
        self.metrics.set_gauge("paused_endpoints", self._notices.paused_count)
        self.metrics.set_gauge("limited_endpoints", len(self._limits.rate_by_id()))
        for rank, count in self._admission_queue.waiting_count_by_rank().items():
            self.metrics.set_gauge(f"waiting_rank_{rank}", count)
        self.metrics.set_gauge("active_requests", self._active_requests)
        load_age = self.follower.load_age()
        self.metrics.set_gauge("load_age_seconds", -1.0 if math.isinf(load_age) else load_age)
        self.metrics.set_gauge("unreported_requests", self._unreported_work.requests)
        self.metrics.set_gauge("response_bytes", self.response_budget.held_bytes)
        return self.metrics.registry

    def endpoint_address(self, endpoint_id: str) -> str | None:
        """Return the address and port of an endpoint, if known."""
        record = self.follower.endpoint_by_id.get(EndpointId(endpoint_id))
        return None if record is None else record.socket_address

    async def async_drain(self) -> None:
        """Stop accepting callers and let active requests finish within the grace period."""
        self.is_draining = True
        loop = asyncio.get_running_loop()
        drain_started_at = loop.time()
        self._drain_started_at = drain_started_at
        drain_deadline = self._drain_deadline()
        await asyncio.sleep(min(DRAIN_IDLE_CLOSE_S, drain_deadline - drain_started_at))
        self._close_idle_callers()
        await asyncio.sleep(
            max(0.0, min(drain_started_at + DRAIN_REJECT_LONG_S, drain_deadline) - loop.time())
        )
        try:
            async with asyncio.timeout_at(drain_deadline):
                await self._idle.wait()
        except TimeoutError:
            pass
        log_event(
            EventCode.GATEWAY_DRAINED,
            active=self._active_requests,
            seconds=loop.time() - drain_started_at,
        )

    async def async_close_callers(self) -> None:
        """Close connections without a request; let requests that were just read be answered."""
        self._close_idle_callers()
        # A request that was read in this iteration of the event loop becomes active in the next.
        await asyncio.sleep(0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_ANSWERS_S):
                await self._idle.wait()

    @callback
    def set_idle_close_callback(self, on_idle_close: Callable[[], None]) -> None:
        """Set the callback that closes idle caller connections while draining."""
        self._close_idle_callers = on_idle_close

    def _drain_deadline(self) -> float:
        """Return the time by which a draining process must have finished its requests."""
        drain_started_at = (
            self._clock.now() if self._drain_started_at is None else self._drain_started_at
        )
        return drain_started_at + self._settings.drain_grace_s - DRAIN_MARGIN_S

    def _may_outlast_drain(self, context: RequestContext) -> bool:
        """Return whether a request may outlast the draining process."""
        if self._drain_started_at is None or context.deadline <= self._drain_deadline():
            return False
        return self._clock.now() >= self._drain_started_at + DRAIN_REJECT_LONG_S

    async def async_serve(self, request: CallerRequest, responder: Responder) -> None:
        """Serve one request of a caller; it is active until its answer has been written."""
        self._active_requests += 1
        self._idle.clear()
        try:
            try:
                await self._async_answer(request, responder)
            finally:
                self.body_budget.release(len(request.body))
            # A caller that reads slowly must not keep the body in memory.
            del request
            await responder.async_wait_written()
        finally:
            self._active_requests -= 1
            if self._active_requests == 0:
                self._idle.set()

    @callback
    def refuse_discarded(self, request: CallerRequest, responder: Responder) -> None:
        """Refuse a request whose body was discarded, as the bodies of others take all memory."""
        detail = "the bodies of other requests take all memory for them"
        refusal = not_run_refusal(ResultCode.QUEUE_FULL, detail, self._rng)
        self.metrics.request_ended(None, refusal, 0.0)
        log_refusal(request.attempt_id, None, refusal, 0.0)
        responder.refuse(request, refusal)

    def reason_to_decline(self, request: CallerRequest, version: int) -> str | None:
        """Return why a request of another gateway is not taken, or None if it is.

        Args:
            request: The request.
            version: Version of the document that the other gateway has applied.
        """
        routes = self.follower.routes
        if self.is_draining:
            return "the gateway drains"
        if routes is None or routes.version < version:
            return "the configuration is older"
        route = routes.match(request.host, request.path)
        if route is None:
            return None
        if all(self._reach.is_unreachable(split.service_id) for split in route.splits):
            return "no endpoint of the service answers"
        return None

    async def async_may_take(self, service_id: ServiceId) -> bool:
        """Return whether requests for a service may be handed over to this gateway now."""
        return not self.is_draining and await self._reach.async_is_reached(service_id)

    async def _async_answer(self, request: CallerRequest, responder: Responder) -> None:
        """Answer one request of a caller."""
        route_id = None
        try:
            await self._async_wait_for_routes(request)
            context_or_refusal = self._resolver.resolve(request)
            if isinstance(context_or_refusal, RequestContext):
                route_id = context_or_refusal.route.route_id
            refusal = await self._async_serve_or_refuse(context_or_refusal, responder)
        except Exception as error:
            log_event(EventCode.COMPONENT_FAILED, component=self.name, error=repr(error))
            refusal = unknown_outcome_refusal(ResultCode.OUTCOME_UNKNOWN, "internal error")
        duration_s = self._clock.now() - request.received_at
        self.metrics.request_ended(route_id, refusal, duration_s)
        if refusal is not None and not responder.is_disconnected:
            log_refusal(request.attempt_id, route_id, refusal, duration_s)
            responder.refuse(request, refusal)

    async def _async_wait_for_routes(self, request: CallerRequest) -> None:
        """Hold a request received shortly after startup until the first configuration arrives.

        An early refusal would use up one of the caller's retries.
        """
        if self.follower.routes is not None:
            return
        if self._clock.now() - self._started_at > STARTUP_HOLD_S:
            return
        wait_s = MAX_STARTUP_WAIT_S
        if request.budget_s is not None:
            wait_s = min(wait_s, STARTUP_WAIT_SHARE * request.budget_s)
        await self.follower.async_wait_for_routes(wait_s)

    async def _async_serve_or_refuse(
        self, context_or_refusal: RequestContext | GatewayRefusal, responder: Responder
    ) -> GatewayRefusal | None:
        """Serve a request; return the refusal to send, if any."""
        match context_or_refusal:
            case GatewayRefusal():
                return context_or_refusal
            case RequestContext() if self._may_outlast_drain(context_or_refusal):
                detail = "the gateway is about to stop"
                return not_run_refusal(ResultCode.HOST_DRAINING, detail, self._rng)
            case RequestContext():
                return await self._async_dispatch(context_or_refusal, responder)

    async def _async_dispatch(
        self, context: RequestContext, responder: Responder
    ) -> GatewayRefusal | None:
        """Dispatch a request to the handler for its kind."""
        if self._crash_tracker.is_quarantined(context):
            return quarantine_refusal()
        service = self._resolver.service(context.route)
        if service is None:
            return permanent_refusal(ResultCode.UNKNOWN_SERVICE, "the route's service is not known")
        match context.route.kind:
            case RequestKind.STREAM:
                return await self._stream_handler.async_serve(context, service, responder)
            case _:
                return await self._call_handler.async_serve(context, service, responder)

    @callback
    def _load_report(self) -> LoadReport:
        """Return the load report of this gateway."""
        return self._load_reporter.report(is_draining=self.is_draining)

    @callback
    def _on_endpoint_declines(self, endpoint: EndpointRecord) -> None:
        """Close idle connections to an endpoint, and end waits that it was the last to serve."""
        self._connection_pool.close_idle_to(endpoint)
        entry_ids = self._directory.entry_ids(endpoint.service_id)
        if entry_ids and not any(map(self._notices.may_send, entry_ids)):
            detail = "all endpoints that could run it leave or want a pause"
            self._admission_queue.end_waits(endpoint.service_id, detail)

    async def _async_probe_endpoint(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint answers a health check."""
        service = self._directory.service(record.service_id)
        return await async_probe_reach(
            record.address,
            record.port,
            "/" if service is None else service.health_path,
            lambda: self.metrics.connection_opened(ConnectionReason.PROBE_REACH),
        )

    @callback
    def _on_reach_changed(self) -> None:
        """Let what waits for an unreachable service go on elsewhere."""
        for service_id in self._reach.unreachable_services():
            self._background.spawn(self._async_end_waits(service_id))
        self._wake_admission()

    async def _async_end_waits(self, service_id: ServiceId) -> None:
        """End the waits for a service once another gateway is known to reach it."""
        if await self._handover.async_is_confirmed(service_id):
            self._admission_queue.end_waits(service_id, "no endpoint of the service answers")

    @callback
    def _wake_admission(self) -> None:
        """Try waiting requests, since capacity may have become free."""
        self._admission_queue.wake()

    async def _async_update_pace(self) -> None:
        """Estimate the slowdown of endpoints periodically."""
        while True:
            await asyncio.sleep(PACE_UPDATE_INTERVAL_S)
            summary = self.follower.load_summary()
            loads = self._load_tracker.loads(summary.load_by_id)
            self._pace_tracker.update(loads, summary, self._directory.ids_by_service())

    async def _async_prune(self) -> None:
        """Close expired idle connections periodically."""
        while True:
            await asyncio.sleep(_PRUNE_INTERVAL_S)
            self._connection_pool.prune()
            self._handover_client.prune()
            self._notices.discard_gone()


def _no_idle_connections() -> None:
    """Do nothing until a server has registered its callback."""
