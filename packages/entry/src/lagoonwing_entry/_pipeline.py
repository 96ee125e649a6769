"""Pipeline attempts: runs every stage once per token, in layer order."""

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
from lagoonwing_entry._endpoint_messages import FirstStageInput, LastStageOutput, NextStageInput
from lagoonwing_entry._suspects import SuspectReporter
from lagoonwing_entry.adapter import EndpointAdapter
from lagoonwing_entry.const import ATTEMPT_STRIDE, MAX_STAGE_REPLACEMENTS
from lagoonwing_entry.errors import DispatchError
from lagoonwing_entry.models import (
    DispatchFailure,
    DispatchId,
    DispatchTarget,
    ModelCall,
    StageReplay,
    StageStep,
    Token,
    TokenBatch,
)
from lagoonwing_entry.ports import SchedulerPort
from lagoonwing_policy.models import Dispatch, ReportSuspects, RouteStage, StartAttempt

_ENCODER = msgspec.json.Encoder()
_MAX_REPLACEMENTS_AFTER_CRASH = 1

RelayCallback = Callable[[ActiveRequest, TokenBatch], Awaitable[None]]


@dataclass(slots=True)
class _StageSlot:
    """Position in the pipeline and the stage that currently fills it.

    Attributes:
        needs_rebuild: Whether the stage lacks the KV cache of the tokens generated so far.
        predecessor_record: Stage that filled the position before; its KV cache can be imported.
    """

    stage: RouteStage
    record: EndpointRecord
    layers: LayerRange
    needs_rebuild: bool
    predecessor_record: EndpointRecord | None = None


class PipelineAttempt:
    """Runs every token through the stages of a route.

    Attributes:
        failed_stage: Stage at which the attempt failed, if it did.
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
        self._slots: list[_StageSlot] = []

    async def async_run(
        self,
        active: ActiveRequest,
        call: ModelCall,
        command: StartAttempt,
        async_relay: RelayCallback,
    ) -> None:
        """Generate the remaining tokens.

        Raises:
            DispatchError: A stage failed and could not be replaced.
            CallerGoneError: The caller disconnected or stopped reading.
        """
        self._active = active
        self._call = call
        self._attempt = command.attempt
        self._slots = self._build_slots(command)
        finished = False
        try:
            while not finished:
                last = await self._async_generate_token(len(active.token_texts))
                finished = last.finished or self._token_limit_reached()
                token = Token(len(active.token_texts), last.text)
                reason = "stop" if last.finished else "length"
                batch = TokenBatch((token,), reason if finished else None)
                await async_relay(active, batch)
        except DispatchError as error:
            raise self._with_attempt_dispatch(error) from error
        finally:
            self._close_stages()

    def _with_attempt_dispatch(self, error: DispatchError) -> DispatchError:
        """Return the error with the dispatch state of the attempt instead of the last step."""
        if not self._may_have_run:
            return error
        return DispatchError(replace(error.failure, dispatch=Dispatch.MAY_HAVE_RUN))

    def _build_slots(self, command: StartAttempt) -> list[_StageSlot]:
        """Return the stage slots of the route, which must cover each layer exactly once.

        Raises:
            DispatchError: Layers are missing or duplicated; nothing was sent.
        """
        slots: list[_StageSlot] = []
        next_layer = 0
        self.failed_stage = command.route.stages[0]
        for stage, record in zip(command.route.stages, self._active.records, strict=True):
            if record.layers is None or record.layers.first != next_layer:
                raise _not_sent_error(f"{stage.endpoint_id} does not go on at layer {next_layer}")
            next_layer = record.layers.end
            slots.append(_StageSlot(stage, record, record.layers, bool(self._active.token_texts)))
        if next_layer != self._active.records[0].layer_count:
            raise _not_sent_error(f"the route ends at layer {next_layer}")
        return slots

    async def _async_generate_token(self, token: int) -> LastStageOutput:
        """Run every stage once for one token."""
        state = self._first_stage_input(token)
        for position in range(len(self._slots)):
            state = await self._async_run_stage(position, token, state)
        try:
            return msgspec.json.decode(state, type=LastStageOutput)
        except msgspec.MsgspecError as error:
            self.failed_stage = self._slots[-1].stage
            refusal = Refusal(ResultCode.ANSWER_INCOMPLETE, f"malformed last state: {error}")
            raise DispatchError(DispatchFailure(Dispatch.MAY_HAVE_RUN, refusal)) from error

    async def _async_run_stage(self, position: int, token: int, state: msgspec.Raw) -> msgspec.Raw:
        """Run one stage for one token, replacing the stage if it fails."""
        while True:
            slot = self._slots[position]
            try:
                if slot.needs_rebuild:
                    await self._async_rebuild(slot, token)
                step = StageStep(self._dispatch_id(), token, slot.layers, state)
                output = await self._adapter.async_step(DispatchTarget(slot.record), step)
                self._may_have_run = True
                return output
            except DispatchError as error:
                self.failed_stage = slot.stage
                self._may_have_run |= error.failure.dispatch is Dispatch.MAY_HAVE_RUN
                await self._async_replace_stage(position, token, error)

    async def _async_replace_stage(self, position: int, token: int, error: DispatchError) -> None:
        """Replace a failed stage, under a higher attempt number that fences the old one.

        Raises:
            DispatchError: The original failure, if there is no replacement.
        """
        slot = self._slots[position]
        request_id = self._active.profile.request_id
        if self._replacements >= MAX_STAGE_REPLACEMENTS:
            raise error
        if error.failure.endpoint_crashed:
            await self._async_record_crash(slot.stage, error)
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
        predecessor = None if error.failure.endpoint_crashed else slot.record
        self._slots[position] = _StageSlot(replaced.ok, record, slot.layers, token > 0, predecessor)
        self._active.records = tuple(slot.record for slot in self._slots)

    async def _async_record_crash(self, stage: RouteStage, error: DispatchError) -> None:
        """Record that a stage crashed on this request before another stage runs it.

        Raises:
            DispatchError: The limit of replacements after a crash is reached.
        """
        if self._active.replacements_after_crash >= _MAX_REPLACEMENTS_AFTER_CRASH:
            raise error
        self._active.replacements_after_crash += 1
        fingerprints = (self._active.profile.fingerprint,)
        await self._suspects.async_record(
            ReportSuspects(fingerprints, stage.endpoint_id, stage.incarnation)
        )

    async def _async_rebuild(self, slot: _StageSlot, token: int) -> None:
        """Rebuild a stage's KV cache of the tokens generated so far, by import or replay."""
        replay = StageReplay(
            self._dispatch_id(),
            slot.layers,
            self._call.prompt,
            self._call.max_tokens,
            tuple(self._active.token_texts[:token]),
        )
        if not await self._async_import(slot, replay, token):
            await self._adapter.async_replay(DispatchTarget(slot.record), replay)
        slot.needs_rebuild = False

    async def _async_import(self, slot: _StageSlot, replay: StageReplay, token: int) -> bool:
        """Import the KV cache from the replaced stage; return whether that succeeded."""
        source = slot.predecessor_record
        if source is None or not (source.exports_kv and slot.record.exports_kv):
            return False
        try:
            cache = await self._adapter.async_export(
                DispatchTarget(source), replay.dispatch_id, token
            )
            await self._adapter.async_import(DispatchTarget(slot.record), replay, cache)
        except DispatchError:
            return False
        return True

    def _first_stage_input(self, token: int) -> msgspec.Raw:
        """Return the input of the first stage."""
        if token == 0:
            first = FirstStageInput(self._call.prompt, self._call.max_tokens)
            return msgspec.Raw(_ENCODER.encode(first))
        return msgspec.Raw(_ENCODER.encode(NextStageInput(self._active.token_texts[token - 1])))

    def _token_limit_reached(self) -> bool:
        """Return whether the current token reaches the requested token limit."""
        limit = self._call.max_tokens
        return bool(limit) and len(self._active.token_texts) + 1 >= limit

    def _dispatch_id(self) -> DispatchId:
        """Return the id that every stage must echo; the attempt increases with each replacement."""
        number = self._attempt * ATTEMPT_STRIDE + self._replacements
        return DispatchId(self._active.profile.request_id, Attempt(number))

    def _close_stages(self) -> None:
        """Release the KV caches of the stages in the background."""
        tokens = len(self._active.token_texts)
        loop = asyncio.get_running_loop()
        for slot in self._slots:
            task = loop.create_task(self._async_close(slot, self._dispatch_id(), tokens))
            _CLOSE_TASKS.add(task)
            task.add_done_callback(_CLOSE_TASKS.discard)

    async def _async_close(self, slot: _StageSlot, dispatch_id: DispatchId, token: int) -> None:
        """Release the KV cache of one stage."""
        with contextlib.suppress(DispatchError):
            await self._adapter.async_close_stage(DispatchTarget(slot.record), dispatch_id, token)


# Strong references; the event loop keeps only weak references to tasks.
_CLOSE_TASKS: set[asyncio.Task[None]] = set()


def _not_sent_error(detail: str) -> DispatchError:
    """Return the error of an unusable route; no byte was sent."""
    refusal = Refusal(ResultCode.INCOMPLETE_PIPELINE, detail)
    return DispatchError(DispatchFailure(Dispatch.NO_BYTE_SENT, refusal))
