"""Reads the response of a path that may be silent for a while."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._components import GatewayComponents
from lagoonwing_gateway._endpoint_client import OpenExchange
from lagoonwing_gateway._stream_call import StreamCall
from lagoonwing_gateway._stream_failover import StreamFailover
from lagoonwing_gateway.const import (
    DEADLINE_MARGIN_S,
    MAX_WRITING_BEFORE_CRASH_S,
    SILENCE_RECHECK_INTERVAL_S,
    STREAM_STALL_TIMEOUT_S,
)
from lagoonwing_gateway.models import Failed, FailureEvidence, RequestFailure, ResponseInfo
from lagoonwing_http import ResponseHead
from lagoonwing_placement import Path

ResultT = TypeVar("ResultT")


class GivenUpError(Exception):
    """The attempt ends although its endpoints have not ended it."""

    def __init__(self, outcome: Failed) -> None:
        super().__init__(outcome.reason)
        self.outcome = outcome


class PatientReader:
    """Waits for an exchange as long as no other attempt is certain.

    Attributes:
        has_events: Whether an event of this attempt has arrived.
    """

    def __init__(
        self,
        components: GatewayComponents,
        call: StreamCall,
        failover: StreamFailover,
        path: Path,
        open_exchange: OpenExchange,
    ) -> None:
        self.has_events = False
        self._has_recorded_silence = False
        self._waiting_since = components.clock.now()
        self._progress = call.progress
        self._first_event_at = 0.0
        self._components = components
        self._deadline = call.context.deadline - DEADLINE_MARGIN_S
        self._failover = failover
        self._first_event_s = path.first_token_ms / 1_000
        self._endpoint_ids: tuple[EndpointId, ...] = tuple(
            segment.endpoint_id for segment in path.segments
        )
        self._open_exchange = open_exchange

    @callback
    def record_progress(self, *, is_event: bool = False) -> None:
        """Record that the path has just made progress."""
        self._waiting_since = self._components.clock.now()
        if is_event and not self.has_events:
            self.has_events = True
            self._first_event_at = self._waiting_since

    def has_just_begun(self) -> bool:
        """Return whether the endpoints have written for a short time only, or not yet."""
        now = self._components.clock.now()
        return not self.has_events or now <= self._first_event_at + MAX_WRITING_BEFORE_CRASH_S

    async def async_head(self) -> tuple[ResponseHead, ResponseInfo]:
        """Wait for the response head.

        Raises:
            AnswerBrokenError: The connection closed first.
            GivenUpError: The deadline has passed, or the stream continues elsewhere.
        """
        client = self._components.endpoint_client
        return await self._async_wait(
            lambda timeout: client.async_head(self._open_exchange, timeout)
        )

    async def async_chunk(self) -> bytes | None:
        """Wait for the next bytes; None at the end of the response.

        Raises:
            AnswerBrokenError: The connection closed first.
            GivenUpError: The deadline has passed, or the stream continues elsewhere.
        """
        return await self._async_wait(self._open_exchange.exchange.async_read_chunk)

    async def _async_wait(self, read: Callable[[float], Awaitable[ResultT]]) -> ResultT:
        """Read with a timeout, again and again."""
        patience_s = STREAM_STALL_TIMEOUT_S + (0.0 if self.has_events else self._first_event_s)
        give_up_at = self._waiting_since + patience_s
        while True:
            now = self._components.clock.now()
            if now >= self._deadline:
                raise GivenUpError(Failed("the deadline has passed", ()))
            try:
                return await read(max(0.0, min(self._deadline, give_up_at) - now))
            except TimeoutError:
                await self._async_give_up_if_certain()
                give_up_at = self._components.clock.now() + SILENCE_RECHECK_INTERVAL_S

    async def _async_give_up_if_certain(self) -> None:
        """Look for another path, since this one is silent.

        Raises:
            GivenUpError: The stream continues elsewhere.
        """
        components = self._components
        silent_ids = components.suspicions.without_progress_since(
            self._endpoint_ids, self._waiting_since
        )
        components.watchdog.probe_all(silent_ids)
        self._record_silence(silent_ids)
        blamed_ids = silent_ids or self._endpoint_ids
        if await self._failover.async_may_hand_over():
            raise GivenUpError(Failed("no endpoint answers", blamed_ids, is_silence=True))
        if await self._failover.async_try_reserve(blamed_ids):
            raise GivenUpError(Failed("the path fell silent", blamed_ids, is_silence=True))

    @callback
    def _record_silence(self, silent_ids: tuple[EndpointId, ...]) -> None:
        """Record once that an endpoint may be mute: the only silent one, or the first one.

        Without any response, the first endpoint is the one that accepted the request. Progress on
        another stream clears it again.
        """
        if self._has_recorded_silence or not silent_ids:
            return
        first_id = self._endpoint_ids[0]
        if len(silent_ids) > 1 and (self.has_events or first_id not in silent_ids):
            return
        self._has_recorded_silence = True
        failure = RequestFailure(
            silent_ids[0] if len(silent_ids) == 1 else first_id,
            "no response to a request",
            FailureEvidence.SILENT,
        )
        self._components.suspicions.record_failed_request(
            failure.endpoint_id, failure.reason, failure.evidence
        )
        self._progress.failures.append(failure)
