"""Detects failed endpoints on the paths of silent streams by probing them.

If one endpoint on a path fails, all streams through it stop, and the healthy endpoints on their
paths make no progress either. A connection attempt identifies the failed endpoint long before a
timeout expires.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import EndpointId
from lagoonwing_core.tasks import TaskSet
from lagoonwing_gateway._directory import EndpointDirectory
from lagoonwing_gateway._endpoint_client import failure_evidence
from lagoonwing_gateway._probe_schedule import ProbeSchedule, WatchedStream
from lagoonwing_gateway._suspicions import SuspicionTracker
from lagoonwing_gateway.const import (
    COMPARED_ENDPOINTS,
    LOOP_DELAY_WARNING_S,
    PROBE_ATTEMPTS,
    PROBE_TIMEOUT_S,
    WATCH_INTERVAL_S,
)
from lagoonwing_gateway.models import ConnectionReason, FailureEvidence
from lagoonwing_http import ConnectError, async_open_connection

_Incarnation = tuple[EndpointId, int]


class Watchdog:
    """Monitors the streams of this gateway."""

    def __init__(
        self,
        directory: EndpointDirectory,
        suspicions: SuspicionTracker,
        clock: Clock,
        on_connect: Callable[[ConnectionReason], None],
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._suspicions = suspicions
        self._clock = clock
        self._on_connect = on_connect
        self._rng = rng
        self._streams: set[WatchedStream] = set()
        self._schedule = ProbeSchedule(suspicions)
        self._probe_by_incarnation: dict[_Incarnation, asyncio.Task[FailureEvidence | None]] = {}
        self._tasks = TaskSet("watchdog")

    async def async_run(self) -> None:
        """Probe silent endpoints until cancelled."""
        while True:
            sleep_started_at = self._clock.now()
            await asyncio.sleep(WATCH_INTERVAL_S)
            now = self._clock.now()
            if now - sleep_started_at > WATCH_INTERVAL_S + LOOP_DELAY_WARNING_S:
                delayed_ms = round((now - sleep_started_at - WATCH_INTERVAL_S) * 1_000)
                log_event(EventCode.LOOP_DELAYED, ms=delayed_ms, streams=len(self._streams))
            for endpoint_id in self._schedule.silent_ids(self._streams, now):
                self._start_probe(endpoint_id, now, ConnectionReason.PROBE_SILENT)

    async def async_unload(self) -> None:
        """Cancel running probes."""
        await self._tasks.async_cancel()
        for probe in list(self._probe_by_incarnation.values()):
            probe.cancel()

    @callback
    def watch(self, stream: WatchedStream) -> None:
        """Start monitoring a stream."""
        self._streams.add(stream)

    @callback
    def unwatch(self, stream: WatchedStream) -> None:
        """Stop monitoring a stream."""
        self._streams.discard(stream)

    @callback
    def probe_all(self, endpoint_ids: tuple[EndpointId, ...]) -> None:
        """Probe the endpoints of a path that failed for an unknown reason."""
        now = self._clock.now()
        for endpoint_id in endpoint_ids:
            self._start_probe(endpoint_id, now, ConnectionReason.PROBE_FAILED)

    @callback
    def _start_probe(self, endpoint_id: EndpointId, now: float, reason: ConnectionReason) -> None:
        """Start probing an endpoint unless it was probed recently."""
        record = self._directory.record(endpoint_id)
        if record is not None and self._schedule.try_begin(endpoint_id, now):
            self._tasks.spawn(self._async_probe_silent(record, reason))

    async def async_probe(
        self, record: EndpointRecord, reason: ConnectionReason = ConnectionReason.PROBE_FAILED
    ) -> FailureEvidence | None:
        """Probe an endpoint; return what shows that it is down, or None if it accepts connections.

        An endpoint that seems to be down is suspected, and its streams are told. Concurrent callers
        share one probe.
        """
        incarnation = (record.endpoint_id, record.started_ms)
        probe = self._probe_by_incarnation.get(incarnation)
        if probe is None:
            probe = asyncio.ensure_future(self._async_find_failure(record, reason))
            self._probe_by_incarnation[incarnation] = probe
            probe.add_done_callback(lambda done: self._probe_by_incarnation.pop(incarnation))
        return await asyncio.shield(probe)

    async def _async_probe_silent(self, record: EndpointRecord, reason: ConnectionReason) -> None:
        """Probe an endpoint through which no events arrive."""
        await self.async_probe(record, reason)

    async def _async_find_failure(
        self, record: EndpointRecord, probe_reason: ConnectionReason
    ) -> FailureEvidence | None:
        """Try to connect to an endpoint; tell its streams if it seems to be down."""
        started_at = self._clock.now()
        for _ in range(PROBE_ATTEMPTS):
            self._on_connect(probe_reason)
            try:
                connection = await async_open_connection(
                    record.address, record.port, PROBE_TIMEOUT_S, lambda connection: None
                )
            except ConnectError as error:
                reason, evidence = str(error), failure_evidence(error)
                if evidence is FailureEvidence.REFUSED:
                    break
                continue
            connection.close()
            return None
        if evidence is FailureEvidence.REFUSED and not await self._async_is_alone(record):
            evidence = FailureEvidence.BROKEN
        is_silent = evidence is not FailureEvidence.REFUSED
        if is_silent and self._suspicions.has_progress_since(record.endpoint_id, started_at):
            return None
        self._suspicions.record_failure(record.endpoint_id, reason, evidence)
        for stream in list(self._streams):
            if record.endpoint_id in stream.endpoint_ids:
                stream.interrupt(record, evidence)
        return evidence

    async def _async_is_alone(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint refuses connections that others of its service accept.

        A gateway whose connections are all refused has lost its network; without another endpoint
        there is nothing to compare with.
        """
        ids = set(self._directory.ids_of_service(record.service_id)) - {record.endpoint_id}
        chosen = self._rng.sample(sorted(ids), min(len(ids), COMPARED_ENDPOINTS))
        others = [self._directory.record(endpoint_id) for endpoint_id in chosen]
        accepted = await asyncio.gather(*(self._async_accepts(other) for other in others if other))
        return not accepted or any(accepted)

    async def _async_accepts(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint accepts a connection."""
        self._on_connect(ConnectionReason.PROBE_FAILED)
        try:
            connection = await async_open_connection(
                record.address, record.port, PROBE_TIMEOUT_S, lambda connection: None
            )
        except ConnectError:
            return False
        connection.close()
        return True
