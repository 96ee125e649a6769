"""Asks endpoints for load and cache events, which are late, gapped and so no more than hints."""

from __future__ import annotations

import asyncio

from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId, Incarnation
from lagoonwing_core.models import EndpointKind, EndpointRecord
from lagoonwing_entry._directory import EndpointDirectory
from lagoonwing_entry._periodic import Periodic
from lagoonwing_entry.adapter import EndpointAdapter
from lagoonwing_entry.const import MAX_REPORTS_AT_ONCE, MAX_REPORTS_PER_S
from lagoonwing_entry.errors import DispatchError
from lagoonwing_entry.models import Target
from lagoonwing_entry.ports import SchedulerPort
from lagoonwing_policy.models import EndpointLoad


class EndpointReports:
    """Polls the endpoints, fewer times each the more there are."""

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
        self._number_by_process: dict[tuple[EndpointId, Incarnation], int] = {}
        self._polls = Periodic(self.name, self._async_poll, period_s)

    async def async_setup(self) -> None:
        """Start to poll."""
        self._polls.start()

    async def async_unload(self) -> None:
        """Stop to poll."""
        self._polls.stop()

    async def _async_poll(self) -> None:
        """Poll every endpoint once, no faster than the bound on all polls allows."""
        records = [
            record
            for record in self._directory.records()
            if record.kind is not EndpointKind.SERVICE
        ]
        self._forget_all_but(records)
        began = self._clock.now()
        await self.async_poll_once(records)
        shortest = len(records) / MAX_REPORTS_PER_S
        await asyncio.sleep(max(0.0, began + shortest - self._clock.now()))

    async def async_poll_once(self, records: list[EndpointRecord]) -> None:
        """Poll some endpoints, a few at once."""
        for begin in range(0, len(records), MAX_REPORTS_AT_ONCE):
            batch = records[begin : begin + MAX_REPORTS_AT_ONCE]
            await asyncio.gather(*(self._async_ask(record) for record in batch))

    async def _async_ask(self, record: EndpointRecord) -> None:
        """Ask one endpoint; its silence says nothing, for membership judges that."""
        process = (record.endpoint_id, record.incarnation)
        asked = self._clock.now()
        try:
            load = await self._adapter.async_load(Target(record))
            after = self._number_by_process.get(process, 0)
            events = await self._adapter.async_cache_events(Target(record), after)
        except DispatchError:
            return
        self._scheduler.report_load(
            EndpointLoad(record.endpoint_id, load.running, load.queued, load.kv_tokens_used, asked)
        )
        for event in events:
            if event.number > after + 1:
                self._scheduler.report_cache_gap(record.endpoint_id)
            after = max(after, event.number)
            self._scheduler.report_prefix(record.endpoint_id, event.prefix, event.held)
        self._number_by_process[process] = after

    def _forget_all_but(self, records: list[EndpointRecord]) -> None:
        """Drop what is kept of processes that are gone."""
        known = {(record.endpoint_id, record.incarnation) for record in records}
        for process in self._number_by_process.keys() - known:
            del self._number_by_process[process]
