"""Carries out placement under the leader's lease."""

from __future__ import annotations

import asyncio
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
from lagoonwing_core.tasks import TaskSet
from lagoonwing_placement import Host, PlacementOrder, due_orders, load_s, new_layer_count
from lagoonwing_placement.const import INITIAL_PLAN_DELAY_S, ORDER_SLACK_S
from lagoonwing_registry.const import PLACEMENT_INTERVAL_S
from lagoonwing_registry.ports import EnginePort, EngineReport, OrderOutcome
from lagoonwing_replication import ReplicatedLog


@dataclass(slots=True)
class _Engine:
    """What the executor knows of one incarnation of an engine.

    Attributes:
        order_count: Orders that it has begun; nothing if not known.
        pending: Layers of an order that is not yet seen to be done.
        pending_until: When that order is given up.
    """

    started_ms: int
    order_count: int | None = None
    pending: LayerRange | None = None
    pending_until: float = 0.0
    is_called: bool = False


class Executor:
    """Gives orders while this replica leads."""

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
        self._engine_by_id: dict[EndpointId, _Engine] = {}
        self._seen: tuple[frozenset[EndpointId], float] = (frozenset(), 0.0)
        self._term: Term | None = None
        self._layered: tuple[DocumentVersion | None, list[tuple[Service, Engine]]] = (None, [])
        self._tasks = TaskSet("placement_executor")

    async def async_run(self) -> None:
        """Give the orders that are due, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PLACEMENT_INTERVAL_S)
            term = self._log.lease_term()
            if term != self._term:
                self._term = term
                self._engine_by_id.clear()
            if term is None:
                continue
            for service, engine in self._layered_services():
                hosts = self._hosts(service.service_id, engine)
                if not self._is_settled(hosts):
                    continue
                orders = await loop.run_in_executor(None, due_orders, engine, hosts)
                self._start_orders(engine, orders, term)

    async def async_unload(self) -> None:
        """Cease to give orders."""
        await self._tasks.async_cancel()

    def _layered_services(self) -> list[tuple[Service, Engine]]:
        """Return the services whose endpoints hold ranges of layers."""
        stored = self._state_machine.state.stored
        if stored is None:
            return []
        if stored.version != self._layered[0]:
            layered = [
                (service, service.engine)
                for service in decompress_document(stored.compressed_document).services
                if service.engine is not None and service.engine.layer_count > 0
            ]
            self._layered = (stored.version, layered)
        return self._layered[1]

    def _hosts(self, service_id: ServiceId, engine: Engine) -> list[Host]:
        """Return the engines of a service that may hold layers."""
        now = self._clock.now()
        hosts: list[Host] = []
        for record in self._state_machine.state.endpoint_by_id.values():
            accelerator = engine.accelerator(record.kind)
            if record.service_id != service_id or record.state is not EndpointState.READY:
                continue
            if accelerator is None:
                continue
            known = self._known(record)
            if record.layers == known.pending or now > known.pending_until:
                known.pending = None
            hosts.append(
                Host(
                    record.endpoint_id,
                    record.failure_domain,
                    accelerator,
                    record.layers,
                    known.pending,
                )
            )
        return hosts

    def _known(self, record: EndpointRecord) -> _Engine:
        """Return what is known of an engine's present incarnation."""
        known = self._engine_by_id.get(record.endpoint_id)
        if known is None or known.started_ms != record.started_ms:
            known = _Engine(record.started_ms)
            self._engine_by_id[record.endpoint_id] = known
        return known

    def _is_settled(self, hosts: list[Host]) -> bool:
        """Return whether the fleet can be planned: it serves already, or has stopped to grow."""
        if any(host.held is not None for host in hosts):
            return True
        now = self._clock.now()
        ids = frozenset(host.endpoint_id for host in hosts)
        if ids - self._seen[0]:
            self._seen = (ids, now)
        return bool(ids) and now >= self._seen[1] + INITIAL_PLAN_DELAY_S

    @callback
    def _start_orders(self, engine: Engine, orders: tuple[PlacementOrder, ...], term: Term) -> None:
        """Begin to give orders, each in a task of its own."""
        for order in orders:
            record = self._state_machine.state.endpoint_by_id.get(order.endpoint_id)
            if record is None or self._known(record).is_called:
                continue
            self._known(record).is_called = True
            self._tasks.spawn(self._async_order(engine, record, order, term))

    async def _async_order(
        self, engine: Engine, record: EndpointRecord, order: PlacementOrder, term: Term
    ) -> None:
        """Give one order, after a look at the engine where it is not known."""
        known = self._known(record)
        try:
            if known.order_count is None and not await self._async_look(record, known):
                return
            assert known.order_count is not None
            if self._log.lease_term() != term:
                return
            result = await self._port.async_place(record, order.layers, known.order_count, term)
            self._take_outcome(engine, record, order, known, result)
        finally:
            known.is_called = False

    async def _async_look(self, record: EndpointRecord, known: _Engine) -> bool:
        """Ask an engine for its state; return whether it can be ordered now."""
        match await self._port.async_report(record):
            case Result(tag="ok", ok=EngineReport() as report):
                known.order_count = report.order_count
            case Result(error=refusal):
                log_event(
                    EventCode.ORDER_FAILED, endpoint=record.endpoint_id, reason=refusal.detail
                )
                return False
        if report.layers is not None and report.layers != record.layers:
            renewed = msgspec.structs.replace(
                record, layers=report.layers, sequence=record.sequence + 1
            )
            await self._submit(PutEndpoint(renewed))
            return False
        return not report.is_busy

    @callback
    def _take_outcome(
        self,
        engine: Engine,
        record: EndpointRecord,
        order: PlacementOrder,
        known: _Engine,
        result: Result[OrderOutcome, Any],
    ) -> None:
        """Note how an engine took an order."""
        outcome = result.default_with(lambda refusal: OrderOutcome.REFUSED)
        log_event(
            EventCode.PLACEMENT_ORDERED,
            endpoint=record.endpoint_id,
            layers=f"{order.layers.first}-{order.layers.end}",
            held=record.layers and f"{record.layers.first}-{record.layers.end}",
            reason=order.reason,
            outcome=outcome.value,
            detail="" if result.is_ok() else result.error.detail,
        )
        self._on_ordered(outcome)
        added = new_layer_count(record.layers, order.layers)
        match outcome:
            case OrderOutcome.BEGUN | OrderOutcome.DONE:
                if outcome is OrderOutcome.BEGUN and known.order_count is not None:
                    known.order_count += 1
                known.pending = order.layers
                wait_s = 2 * load_s(engine, added) + ORDER_SLACK_S
                known.pending_until = self._clock.now() + wait_s
            case OrderOutcome.CONFLICT | OrderOutcome.REFUSED:
                known.order_count = None
