"""Issues placement orders while holding the leader lease."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import msgspec
from expression import Result

from lagoonwing_catalog import CatalogStateMachine, decompress_document
from lagoonwing_catalog.messages import PutEndpoint
from lagoonwing_catalog.models import EndpointRecord, EndpointState, Engine, LayerRange, Service
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import DocumentVersion, EndpointId, ServiceId, Term
from lagoonwing_core.tasks import TaskSet, async_repeat
from lagoonwing_placement import (
    PlacementEndpoint,
    PlacementOrder,
    RepairPlanner,
    load_s,
    new_layer_count,
)
from lagoonwing_placement.const import INITIAL_PLAN_DELAY_S, ORDER_TIMEOUT_MARGIN_S
from lagoonwing_registry.const import PLACEMENT_INTERVAL_S
from lagoonwing_registry.ports import EnginePort, EngineReport, OrderOutcome
from lagoonwing_replication import ReplicatedLog


@dataclass(slots=True)
class _EngineState:
    """Known state of one incarnation of an engine.

    Attributes:
        order_count: Number of orders the engine has started; None if unknown.
        pending: Layers of an order that is not yet confirmed by an announcement.
        pending_deadline: Time after which that order is considered failed.
        has_running_task: Whether a task is currently issuing an order to the engine.
    """

    started_ms: int
    order_count: int | None = None
    pending: LayerRange | None = None
    pending_deadline: float = 0.0
    has_running_task: bool = False


class PlacementExecutor:
    """Issues placement orders while this replica is the leader."""

    def __init__(
        self,
        state_machine: CatalogStateMachine,
        log: ReplicatedLog,
        port: EnginePort,
        clock: Clock,
        submit: Callable[[PutEndpoint], Coroutine[Any, Any, Any]],
        on_ordered: Callable[[OrderOutcome], None],
    ) -> None:
        self._state_machine = state_machine
        self._log = log
        self._port = port
        self._clock = clock
        self._submit = submit
        self._on_ordered = on_ordered
        self._engine_by_id: dict[EndpointId, _EngineState] = {}
        self._planner_by_service: defaultdict[ServiceId, RepairPlanner] = defaultdict(RepairPlanner)
        self._seen_endpoints: tuple[frozenset[EndpointId], float] = (frozenset(), 0.0)
        self._term: Term | None = None
        self._layered_cache: tuple[DocumentVersion | None, list[tuple[Service, Engine]]] = (
            None,
            [],
        )
        self._tasks = TaskSet("placement_executor")

    async def async_run(self) -> None:
        """Issue due orders until cancelled."""
        await async_repeat("placement_executor", PLACEMENT_INTERVAL_S, self._async_issue_due_orders)

    async def _async_issue_due_orders(self) -> None:
        """Issue the orders that are due now."""
        loop = asyncio.get_running_loop()
        term = self._log.lease_term()
        if term != self._term:
            self._term = term
            self._engine_by_id.clear()
            self._planner_by_service.clear()
        if term is None:
            return
        for service, engine in self._layered_services():
            endpoints = self._placement_endpoints(service.service_id, engine)
            if not self._can_plan(endpoints):
                continue
            planner = self._planner_by_service[service.service_id]
            orders = await loop.run_in_executor(None, planner.due_orders, engine, endpoints)
            self._start_orders(engine, orders, term)

    async def async_unload(self) -> None:
        """Cancel running orders."""
        await self._tasks.async_cancel()

    def _layered_services(self) -> list[tuple[Service, Engine]]:
        """Return the services whose model is split into layers."""
        stored = self._state_machine.state.stored
        if stored is None:
            return []
        if stored.version != self._layered_cache[0]:
            layered = [
                (service, service.engine)
                for service in decompress_document(stored.compressed_document).services
                if service.engine is not None and service.engine.layer_count > 0
            ]
            self._layered_cache = (stored.version, layered)
        return self._layered_cache[1]

    def _placement_endpoints(
        self, service_id: ServiceId, engine: Engine
    ) -> list[PlacementEndpoint]:
        """Return the ready endpoints of a service that can hold layers."""
        now = self._clock.now()
        endpoints: list[PlacementEndpoint] = []
        for record in self._state_machine.state.endpoint_by_id.values():
            accelerator = engine.accelerator(record.kind)
            if record.service_id != service_id or record.state is not EndpointState.READY:
                continue
            if accelerator is None:
                continue
            state = self._state_of(record)
            if record.layers == state.pending or now > state.pending_deadline:
                state.pending = None
            endpoints.append(
                PlacementEndpoint(
                    record.endpoint_id,
                    record.failure_domain,
                    accelerator,
                    record.layers,
                    state.pending,
                )
            )
        return endpoints

    def _state_of(self, record: EndpointRecord) -> _EngineState:
        """Return the known state of an engine's current incarnation."""
        state = self._engine_by_id.get(record.endpoint_id)
        if state is None or state.started_ms != record.started_ms:
            state = _EngineState(record.started_ms)
            self._engine_by_id[record.endpoint_id] = state
        return state

    def _can_plan(self, endpoints: list[PlacementEndpoint]) -> bool:
        """Return whether to plan: layers are held, or no new endpoints appeared for a while."""
        if any(endpoint.held is not None for endpoint in endpoints):
            return True
        now = self._clock.now()
        endpoint_ids = frozenset(endpoint.endpoint_id for endpoint in endpoints)
        if endpoint_ids - self._seen_endpoints[0]:
            self._seen_endpoints = (endpoint_ids, now)
        return bool(endpoint_ids) and now >= self._seen_endpoints[1] + INITIAL_PLAN_DELAY_S

    @callback
    def _start_orders(self, engine: Engine, orders: tuple[PlacementOrder, ...], term: Term) -> None:
        """Start a task for each order."""
        for order in orders:
            record = self._state_machine.state.endpoint_by_id.get(order.endpoint_id)
            if record is None or self._state_of(record).has_running_task:
                continue
            self._state_of(record).has_running_task = True
            self._tasks.spawn(self._async_order(engine, record, order, term))

    async def _async_order(
        self, engine: Engine, record: EndpointRecord, order: PlacementOrder, term: Term
    ) -> None:
        """Issue one order; query the engine first if its state is unknown."""
        state = self._state_of(record)
        try:
            if state.order_count is None and not await self._async_query_engine(record, state):
                return
            assert state.order_count is not None
            if self._log.lease_term() != term:
                return
            result = await self._port.async_place(record, order.layers, state.order_count, term)
            self._handle_outcome(engine, record, order, state, result)
        finally:
            state.has_running_task = False

    async def _async_query_engine(self, record: EndpointRecord, state: _EngineState) -> bool:
        """Query the state of an engine; return whether it accepts an order now."""
        match await self._port.async_report(record):
            case Result(tag="ok", ok=EngineReport() as report):
                state.order_count = report.order_count
            case Result(error=refusal):
                log_event(
                    EventCode.ORDER_FAILED, endpoint=record.endpoint_id, reason=refusal.detail
                )
                return False
        if report.layers is not None and report.layers != record.layers:
            updated = msgspec.structs.replace(
                record, layers=report.layers, sequence=record.sequence + 1
            )
            await self._submit(PutEndpoint(updated))
            return False
        return not report.is_busy

    @callback
    def _handle_outcome(
        self,
        engine: Engine,
        record: EndpointRecord,
        order: PlacementOrder,
        state: _EngineState,
        result: Result[OrderOutcome, Any],
    ) -> None:
        """Process the response of an engine to an order."""
        outcome = result.default_with(lambda refusal: OrderOutcome.REFUSED)
        log_event(
            EventCode.PLACEMENT_ORDERED,
            endpoint=record.endpoint_id,
            layers=f"{order.layers.first}-{order.layers.end}",
            held=record.layers and f"{record.layers.first}-{record.layers.end}",
            reason=order.reason.value,
            outcome=outcome.value,
            detail="" if result.is_ok() else result.error.detail,
        )
        self._on_ordered(outcome)
        added_layers = new_layer_count(record.layers, order.layers)
        match outcome:
            case OrderOutcome.BEGUN | OrderOutcome.DONE:
                if outcome is OrderOutcome.BEGUN and state.order_count is not None:
                    state.order_count += 1
                state.pending = order.layers
                timeout_s = 2 * load_s(engine, added_layers) + ORDER_TIMEOUT_MARGIN_S
                state.pending_deadline = self._clock.now() + timeout_s
            case OrderOutcome.CONFLICT | OrderOutcome.REFUSED:
                state.order_count = None
