"""Which services this gateway reaches over its own network.

A gateway that is partitioned from all endpoints of a service looks like one whose endpoints are
down. Probes of several endpoints tell this from the failure of one. Whether all are down needs no
answer here, as other gateways know it: whoever reaches the service serves or refuses its requests.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import EndpointId, ServiceId
from lagoonwing_gateway._answer_times import AnswerTimes
from lagoonwing_gateway._directory import EndpointDirectory
from lagoonwing_gateway._suspicions import SuspicionTracker
from lagoonwing_gateway.const import (
    MAX_REACH_PROBES,
    MIN_REACH_SUCCESSES,
    REACH_ANSWER_MEMORY_S,
    REACH_FLAP_WINDOW_S,
    REACH_HEDGE_S,
    REACH_MEMORY_S,
    REACH_PROBE_INTERVAL_S,
    REACH_SAMPLE,
    REACH_SETTLE_S,
    SERVICE_SILENCE_S,
)
from lagoonwing_gateway.models import FailureEvidence


@dataclass(slots=True)
class _Cut:
    """A service of which no endpoint is reached.

    Attributes:
        successes: Probes in a row that found an endpoint.
        wanted_successes: Number of those that end the cut.
    """

    since: float
    wanted_successes: int
    successes: int = 0


class ReachMonitor:
    """Examines a service when an endpoint fails, or when none answers."""

    def __init__(
        self,
        directory: EndpointDirectory,
        suspicions: SuspicionTracker,
        answer_times: AnswerTimes,
        clock: Clock,
        rng: random.Random,
        async_probe: Callable[[EndpointRecord], Awaitable[bool]],
    ) -> None:
        """Create the monitor.

        Args:
            directory: Endpoints by service.
            suspicions: Tells of failed connections and requests.
            answer_times: Tells when endpoints have answered.
            clock: Time source.
            rng: Random source for the choice of endpoints.
            async_probe: Returns whether an endpoint answers.
        """
        self._directory = directory
        self._suspicions = suspicions
        self._answer_times = answer_times
        self._clock = clock
        self._rng = rng
        self._async_probe = async_probe
        self._cut_by_service: dict[ServiceId, _Cut] = {}
        self._examination_by_service: dict[ServiceId, asyncio.Task[None]] = {}
        self._reached_at_by_service: dict[ServiceId, float] = {}
        self._last_cut_by_service: dict[ServiceId, tuple[float, int]] = {}
        self._last_failure_by_service: dict[ServiceId, tuple[float, EndpointId]] = {}
        self._listeners: list[Callable[[], None]] = []
        suspicions.set_failure_listener(self._on_failure)

    @callback
    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for services that become unreachable, or are reached again."""
        self._listeners.append(listener)

    def is_unreachable(self, service_id: ServiceId) -> bool:
        """Return whether no endpoint of a service answers this gateway."""
        return service_id in self._cut_by_service

    def unreachable_services(self) -> tuple[ServiceId, ...]:
        """Return the services of which no endpoint is reached."""
        return tuple(sorted(self._cut_by_service))

    def doubtful_services(self) -> frozenset[ServiceId]:
        """Return the services that are unreachable, or may be until an examination has ended."""
        return frozenset((*self._cut_by_service, *self._examination_by_service))

    async def async_run(self) -> None:
        """Look for silent services, and for endpoints of unreachable ones, until cancelled."""
        while True:
            await asyncio.sleep(REACH_PROBE_INTERVAL_S)
            for service_id in self._answer_times.silent_services(SERVICE_SILENCE_S):
                self._examine_soon(service_id, None)
            rechecks = (self._async_recheck(service_id) for service_id in self._cut_by_service)
            await asyncio.gather(*rechecks)

    async def async_unload(self) -> None:
        """Cancel running examinations."""
        for examination in list(self._examination_by_service.values()):
            examination.cancel()

    async def async_settled(self, service_id: ServiceId) -> None:
        """Wait for a moment until a running examination of a service has ended."""
        examination = self._examination_by_service.get(service_id)
        if examination is not None:
            await asyncio.wait((examination,), timeout=REACH_SETTLE_S)

    async def async_is_reached(self, service_id: ServiceId) -> bool:
        """Return whether an endpoint of a service answers now."""
        since = self._clock.now() - REACH_ANSWER_MEMORY_S
        if self.is_unreachable(service_id):
            return False
        if not self._answer_times.has_answered_since(service_id, since):
            self._examine(service_id, None)
            await asyncio.wait((self._examination_by_service[service_id],))
        return not self.is_unreachable(service_id)

    @callback
    def _on_failure(self, endpoint_id: EndpointId, evidence: FailureEvidence) -> None:
        """Examine the service of an endpoint that did not answer."""
        record = self._directory.record(endpoint_id)
        if record is None or evidence is FailureEvidence.RESPONSE:
            return
        if self._is_doubtful(record.service_id, endpoint_id):
            self._examine_soon(record.service_id, endpoint_id)

    def _is_doubtful(self, service_id: ServiceId, endpoint_id: EndpointId) -> bool:
        """Return whether a failure, and the one before it, may mean that none is reached.

        It does if no endpoint has answered on a new connection lately, or since another one failed.
        """
        now = self._clock.now()
        failed_at, failed_id = self._last_failure_by_service.get(service_id, (now, endpoint_id))
        self._last_failure_by_service[service_id] = (now, endpoint_id)
        since = now - REACH_ANSWER_MEMORY_S
        if failed_id != endpoint_id:
            since = max(since, failed_at)
        return not self._answer_times.has_newly_answered_since(service_id, since)

    @callback
    def _examine_soon(self, service_id: ServiceId, endpoint_id: EndpointId | None) -> None:
        """Examine a service, unless that is done, or was done a moment ago."""
        if self.is_unreachable(service_id) or service_id in self._examination_by_service:
            return
        reached_at = self._reached_at_by_service.get(service_id, -math.inf)
        if self._clock.now() >= reached_at + REACH_MEMORY_S:
            self._examine(service_id, endpoint_id)

    @callback
    def _examine(self, service_id: ServiceId, endpoint_id: EndpointId | None) -> None:
        """Start an examination, unless one is running."""
        if service_id not in self._examination_by_service:
            examination = asyncio.ensure_future(self._async_examine(service_id, endpoint_id))
            self._examination_by_service[service_id] = examination
            examination.add_done_callback(
                lambda done: self._examination_by_service.pop(service_id, None)
            )

    async def _async_examine(self, service_id: ServiceId, endpoint_id: EndpointId | None) -> None:
        """Probe endpoints of a service, which is unreachable if none answers.

        Args:
            service_id: The service.
            endpoint_id: Endpoint that failed, if any; it is tried only if there is no other.
        """
        started_at = self._clock.now()
        records = self._candidates(service_id)
        others = [record for record in records if record.endpoint_id != endpoint_id] or records
        is_reached = await self._async_reaches_any(others)
        if is_reached:
            self._reached_at_by_service[service_id] = self._clock.now()
        elif others and not self.is_unreachable(service_id):
            self._begin_cut(service_id, len(others), self._clock.now() - started_at)

    def _candidates(self, service_id: ServiceId) -> list[EndpointRecord]:
        """Return endpoints at which requests may enter, a random choice if there are many."""
        ids = [
            endpoint_id
            for endpoint_id in self._directory.entry_ids(service_id)
            if self._directory.may_send(endpoint_id)
        ]
        chosen = self._rng.sample(ids, min(len(ids), MAX_REACH_PROBES + 1))
        records = (self._directory.record(endpoint_id) for endpoint_id in chosen)
        return [record for record in records if record is not None]

    @callback
    def _begin_cut(self, service_id: ServiceId, tried: int, examined_s: float) -> None:
        """Record that a service is unreachable; after a recent cut, its end needs more proof."""
        now = self._clock.now()
        ended_at, wanted = self._last_cut_by_service.get(service_id, (0.0, 0))
        is_flapping = wanted > 0 and now < ended_at + REACH_FLAP_WINDOW_S
        wanted = min(2 * wanted, MAX_REACH_PROBES) if is_flapping else MIN_REACH_SUCCESSES
        self._cut_by_service[service_id] = _Cut(now, wanted)
        log_event(
            EventCode.SERVICE_UNREACHABLE,
            service=service_id,
            tried=tried,
            entries=len(self._directory.entry_ids(service_id)),
            examined_ms=round(examined_s * 1_000),
        )
        self._notify()

    async def _async_recheck(self, service_id: ServiceId) -> None:
        """Probe an unreachable service."""
        cut = self._cut_by_service[service_id]
        records = self._candidates(service_id)
        if records and not await self._async_reaches_any(records[:REACH_SAMPLE]):
            cut.successes = 0
            return
        cut.successes += 1
        if not records or cut.successes >= cut.wanted_successes:
            self._end_cut(service_id, cut)

    @callback
    def _end_cut(self, service_id: ServiceId, cut: _Cut) -> None:
        """Record that a service is reached again; what failed during the cut says nothing."""
        now = self._clock.now()
        del self._cut_by_service[service_id]
        self._suspicions.forget_failures(self._directory.ids_of_service(service_id))
        self._last_cut_by_service[service_id] = (now, cut.wanted_successes)
        log_event(EventCode.SERVICE_REACHED, service=service_id, seconds=round(now - cut.since, 3))
        self._notify()

    def _notify(self) -> None:
        """Tell that the reach has changed."""
        for listener in self._listeners:
            listener()

    async def _async_reaches_any(self, records: Sequence[EndpointRecord]) -> bool:
        """Probe some endpoints, and soon the others; return whether one answers."""
        probes = [
            asyncio.ensure_future(self._async_probe(record)) for record in records[:REACH_SAMPLE]
        ]
        try:
            if await _async_any(probes, REACH_HEDGE_S):
                return True
            probes += [
                asyncio.ensure_future(self._async_probe(record))
                for record in records[REACH_SAMPLE:]
            ]
            return await _async_any(probes, None)
        finally:
            for probe in probes:
                probe.cancel()


async def _async_any(probes: Sequence[asyncio.Task[bool]], timeout: float | None) -> bool:
    """Wait until a probe succeeds; return False when all have failed, or at the timeout."""
    loop = asyncio.get_running_loop()
    deadline = None if timeout is None else loop.time() + timeout
    pending = set(probes)
    while pending:
        left_s = None if deadline is None else max(0.0, deadline - loop.time())
        done, pending = await asyncio.wait(
            pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )
        if any(map(_has_succeeded, done)):
            return True
        if not done:
            return False
    return False


def _has_succeeded(probe: asyncio.Task[bool]) -> bool:
    """Return whether a probe found its endpoint; one that could not be sent did not."""
    return not probe.cancelled() and probe.exception() is None and probe.result()
