"""Polls endpoints for load and cache events.

Reports arrive late and events may be missing, so the scheduler treats both as hints.
"""

from __future__ import annotations

import asyncio

from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId, Incarnation
from lagoonwing_core.models import EndpointKind, EndpointRecord
from lagoonwing_entry._directory import EndpointDirectory
from lagoonwing_entry._periodic_task import PeriodicTask
from lagoonwing_entry.adapter import EndpointAdapter
from lagoonwing_entry.const import MAX_CONCURRENT_POLLS, MAX_POLLS_PER_S
from lagoonwing_entry.errors import DispatchError
from lagoonwing_entry.models import DispatchTarget
from lagoonwing_entry.ports import SchedulerPort
from lagoonwing_policy.models import EndpointLoad


class EndpointPoller:
    """Polls all endpoints within a limit on the total polling rate."""

    name = "endpoint_reports"

    def __init__(
        self,
        adapter: EndpointAdapter,
        scheduler: SchedulerPort,
        directory: EndpointDirectory,
        clock: Clock,
        period_s: float,
    ) -> None:
        self._adapter = adapter
        self._scheduler = scheduler
        self._directory = directory
        self._clock = clock
        self._last_event_by_process: dict[tuple[EndpointId, Incarnation], int] = {}
        self._poll_task = PeriodicTask(self.name, self._async_poll, period_s)

    async def async_setup(self) -> None:
        """Start polling."""
        self._poll_task.start()

    async def async_unload(self) -> None:
        """Stop polling."""
        self._poll_task.stop()

    async def _async_poll(self) -> None:
        """Poll every endpoint once, within the limit on the total polling rate."""
        records = [
            record
            for record in self._directory.records()
            if record.kind is not EndpointKind.SERVICE
        ]
        self._retain_processes(records)
        started = self._clock.now()
        await self.async_poll_endpoints(records)
        min_duration_s = len(records) / MAX_POLLS_PER_S
        await asyncio.sleep(max(0.0, started + min_duration_s - self._clock.now()))

    async def async_poll_endpoints(self, records: list[EndpointRecord]) -> None:
        """Poll the given endpoints, with limited concurrency."""
        for begin in range(0, len(records), MAX_CONCURRENT_POLLS):
            batch = records[begin : begin + MAX_CONCURRENT_POLLS]
            await asyncio.gather(*(self._async_poll_endpoint(record) for record in batch))

    async def _async_poll_endpoint(self, record: EndpointRecord) -> None:
        """Poll one endpoint; errors are ignored because membership detects failed endpoints."""
        process = (record.endpoint_id, record.incarnation)
        polled_at = self._clock.now()
        try:
            load = await self._adapter.async_load(DispatchTarget(record))
            after = self._last_event_by_process.get(process, 0)
            events = await self._adapter.async_cache_events(DispatchTarget(record), after)
        except DispatchError:
            return
        self._scheduler.report_load(
            EndpointLoad(
                record.endpoint_id, load.running, load.queued, load.kv_tokens_used, polled_at
            )
        )
        for event in events:
            if event.number > after + 1:
                self._scheduler.report_cache_gap(record.endpoint_id)
            after = max(after, event.number)
            self._scheduler.report_prefix(record.endpoint_id, event.prefix, event.held)
        self._last_event_by_process[process] = after

    def _retain_processes(self, records: list[EndpointRecord]) -> None:
        """Remove the state of processes that are no longer known."""
        known = {(record.endpoint_id, record.incarnation) for record in records}
        for process in self._last_event_by_process.keys() - known:
            del self._last_event_by_process[process]
