"""One attempt over a pipeline of stages: each layer once for each token, in order."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import msgspec

from lagoonwing_core.clock import Clock
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import Attempt
from lagoonwing_core.models import EndpointRecord, LayerRange
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_entry._active_requests import ActiveRequest
from lagoonwing_entry._directory import EndpointDirectory
from lagoonwing_entry._endpoint_messages import FirstState, LastState, NextState
from lagoonwing_entry._suspects import SuspectReporter
from lagoonwing_entry.adapter import EndpointAdapter
from lagoonwing_entry.const import ATTEMPT_STRIDE, MAX_STAGE_REPLACEMENTS
from lagoonwing_entry.errors import DispatchError
from lagoonwing_entry.models import (
    DispatchFailure,
    DispatchId,
    ModelCall,
    StageReplay,
    StageStep,
    Target,
    Token,
    TokenBatch,
)
from lagoonwing_entry.ports import SchedulerPort
from lagoonwing_policy.models import Dispatch, ReportSuspects, RouteStage, StartAttempt

_ENCODER = msgspec.json.Encoder()
_MAX_DEATHS_REPLACED = 1

Relay = Callable[[ActiveRequest, TokenBatch], Awaitable[None]]


@dataclass(slots=True)
class _Slot:
    """One place in the pipeline.

    Attributes:
        rebuild: Whether the stage lacks the KV cache of the tokens so far.
        successor_of: Stage that held the place before, to take its KV cache from.
    """

    stage: RouteStage
    record: EndpointRecord
    layers: LayerRange
    rebuild: bool
    successor_of: EndpointRecord | None = None


class PipelineAttempt:
    """Drives every token through the stages of a route.

    Attributes:
        failed_stage: Stage at which the attempt ended, if it failed.
    """

    failed_stage: RouteStage

    def __init__(
        self,
        adapter: EndpointAdapter,
        scheduler: SchedulerPort,
        directory: EndpointDirectory,
        suspects: SuspectReporter,
        clock: Clock,
    ) -> None:
        self._adapter = adapter
        self._scheduler = scheduler
        self._directory = directory
        self._suspects = suspects
        self._clock = clock
        self._replacements = 0
        self._may_have_run = False
        self._slots: list[_Slot] = []

    async def async_run(
        self, active: ActiveRequest, call: ModelCall, command: StartAttempt, async_relay: Relay
    ) -> None:
        """Generate the tokens that are still missing.

        Raises:
            DispatchError: A stage failed and could not be replaced.
            CallerGoneError: The caller takes no more.
        """
        self._active = active
        self._call = call
        self._attempt = command.attempt
        self._slots = self._layout(command)
        finished = False
        try:
            while not finished:
                last = await self._async_token(len(active.texts))
                finished = last.finished or self._limit_reached()
                token = Token(len(active.texts), last.text)
                reason = "stop" if last.finished else "length"
                batch = TokenBatch((token,), reason if finished else None)
                await async_relay(active, batch)
        except DispatchError as error:
            raise self._as_far_as_it_came(error) from error
        finally:
            self._close_stages()

    def _as_far_as_it_came(self, error: DispatchError) -> DispatchError:
        """Return the error with the dispatch state of the whole attempt."""
        if not self._may_have_run:
            return error
        return DispatchError(replace(error.failure, dispatch=Dispatch.MAY_HAVE_RUN))

    def _layout(self, command: StartAttempt) -> list[_Slot]:
        """Return the places of the route, which must hold each layer once.

        Raises:
            DispatchError: Layers are missing or held twice; nothing was sent.
        """
        slots: list[_Slot] = []
        next_layer = 0
        self.failed_stage = command.route.stages[0]
        for stage, record in zip(command.route.stages, self._active.records, strict=True):
            if record.layers is None or record.layers.first != next_layer:
                raise _not_sent(f"{stage.endpoint_id} does not go on at layer {next_layer}")
            next_layer = record.layers.end
            slots.append(_Slot(stage, record, record.layers, bool(self._active.texts)))
        if next_layer != self._active.records[0].layer_count:
            raise _not_sent(f"the route ends at layer {next_layer}")
        return slots

    async def _async_token(self, token: int) -> LastState:
        """Run every layer once for one token."""
        state = self._first_state(token)
        for position in range(len(self._slots)):
            state = await self._async_stage(position, token, state)
        try:
            return msgspec.json.decode(state, type=LastState)
        except msgspec.MsgspecError as error:
            self.failed_stage = self._slots[-1].stage
            refusal = Refusal(ResultCode.ANSWER_INCOMPLETE, f"malformed last state: {error}")
            raise DispatchError(DispatchFailure(Dispatch.MAY_HAVE_RUN, refusal)) from error

    async def _async_stage(self, position: int, token: int, state: msgspec.Raw) -> msgspec.Raw:
        """Run one stage's layers for one token, on a replacement if the stage fails."""
        while True:
            slot = self._slots[position]
            try:
                if slot.rebuild:
                    await self._async_rebuild(slot, token)
                step = StageStep(self._dispatch_id(), token, slot.layers, state)
                output = await self._adapter.async_step(Target(slot.record), step)
                self._may_have_run = True
                return output
            except DispatchError as error:
                self.failed_stage = slot.stage
                self._may_have_run |= error.failure.dispatch is Dispatch.MAY_HAVE_RUN
                await self._async_replace(position, token, error)

    async def _async_replace(self, position: int, token: int, error: DispatchError) -> None:
        """Put another stage in a failed one's place, under a number that fences it.

        Raises:
            DispatchError: The failure itself, if nothing can take over.
        """
        slot = self._slots[position]
        request_id = self._active.profile.request_id
        if self._replacements >= MAX_STAGE_REPLACEMENTS:
            raise error
        if error.failure.endpoint_died:
            await self._async_record_death(slot.stage, error)
        replaced = self._scheduler.replace_stage(request_id, slot.stage, self._clock.now())
        if replaced.is_error():
            raise error
        record = self._directory.record_of(replaced.ok)
        if record is None or record.layers != slot.layers:
            self.failed_stage = replaced.ok
            raise error
        log_event(
            EventCode.STAGE_REPLACED,
            request=request_id,
            attempt=self._attempt,
            token=token,
            layers=f"{slot.layers.first}-{slot.layers.end}",
            failed=slot.stage.endpoint_id,
            chosen=replaced.ok.endpoint_id,
            reason=error.failure.refusal.detail,
        )
        self._replacements += 1
        predecessor = None if error.failure.endpoint_died else slot.record
        self._slots[position] = _Slot(replaced.ok, record, slot.layers, token > 0, predecessor)
        self._active.records = tuple(slot.record for slot in self._slots)

    async def _async_record_death(self, stage: RouteStage, error: DispatchError) -> None:
        """Record that a stage died of this request before another one runs it.

        Raises:
            DispatchError: One replacement has died already.
        """
        if self._active.replacements_after_death >= _MAX_DEATHS_REPLACED:
            raise error
        self._active.replacements_after_death += 1
        fingerprints = (self._active.profile.fingerprint,)
        await self._suspects.async_record(
            ReportSuspects(fingerprints, stage.endpoint_id, stage.incarnation)
        )

    async def _async_rebuild(self, slot: _Slot, token: int) -> None:
        """Give a stage the KV cache of the tokens so far, by import or by replay."""
        replay = StageReplay(
            self._dispatch_id(),
            slot.layers,
            self._call.prompt,
            self._call.max_tokens,
            tuple(self._active.texts[:token]),
        )
        if not await self._async_import(slot, replay, token):
            await self._adapter.async_replay(Target(slot.record), replay)
        slot.rebuild = False

    async def _async_import(self, slot: _Slot, replay: StageReplay, token: int) -> bool:
        """Move the KV cache from the stage before; return whether that worked."""
        source = slot.successor_of
        if source is None or not (source.exports_kv and slot.record.exports_kv):
            return False
        try:
            cache = await self._adapter.async_export(Target(source), replay.dispatch_id, token)
            await self._adapter.async_import(Target(slot.record), replay, cache)
        except DispatchError:
            return False
        return True

    def _first_state(self, token: int) -> msgspec.Raw:
        """Return what the first stage gets."""
        if token == 0:
            first = FirstState(self._call.prompt, self._call.max_tokens)
            return msgspec.Raw(_ENCODER.encode(first))
        return msgspec.Raw(_ENCODER.encode(NextState(self._active.texts[token - 1])))

    def _limit_reached(self) -> bool:
        """Return whether the token under way is the last one asked for."""
        limit = self._call.max_tokens
        return bool(limit) and len(self._active.texts) + 1 >= limit

    def _dispatch_id(self) -> DispatchId:
        """Return what every stage must echo; it rises with each replacement."""
        number = self._attempt * ATTEMPT_STRIDE + self._replacements
        return DispatchId(self._active.profile.request_id, Attempt(number))

    def _close_stages(self) -> None:
        """Let the stages drop their KV caches, without waiting for them."""
        tokens = len(self._active.texts)
        loop = asyncio.get_running_loop()
        for slot in self._slots:
            task = loop.create_task(self._async_close(slot, self._dispatch_id(), tokens))
            _CLOSING.add(task)
            task.add_done_callback(_CLOSING.discard)

    async def _async_close(self, slot: _Slot, dispatch_id: DispatchId, token: int) -> None:
        """Let one stage drop its KV cache."""
        with contextlib.suppress(DispatchError):
            await self._adapter.async_close_stage(Target(slot.record), dispatch_id, token)


# Keeps the tasks alive until they have ended.
_CLOSING: set[asyncio.Task[None]] = set()


def _not_sent(detail: str) -> DispatchError:
    """Return the error of a route that can't be used."""
    refusal = Refusal(ResultCode.INCOMPLETE_PIPELINE, detail)
    return DispatchError(DispatchFailure(Dispatch.NO_BYTE_SENT, refusal))
