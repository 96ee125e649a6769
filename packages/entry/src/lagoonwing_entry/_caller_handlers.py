"""Base handler of caller requests, and handlers of the model list and unknown paths."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import msgspec
from expression import Error, Ok, Result

from lagoonwing_core.clock import Clock
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import RequestId
from lagoonwing_core.models import EntityState, Member
from lagoonwing_core.result_codes import Outcome, ResultCode
from lagoonwing_entry._bearer_keys import bearer_key_hashes
from lagoonwing_entry._bounded_handler import BodyLimits, BoundedHandler
from lagoonwing_entry._directory import EndpointDirectory
from lagoonwing_entry._host_readiness import HostReadiness
from lagoonwing_entry._parsing import (
    model_fingerprint,
    model_work,
    service_fingerprint,
)
from lagoonwing_entry._request_runner import RequestRunner
from lagoonwing_entry._service_calls import ServiceCaller
from lagoonwing_entry.const import (
    HEADER_DEADLINE_MS,
    MAX_KEY_BYTES,
)
from lagoonwing_entry.diagnostics import EntryMetrics
from lagoonwing_entry.models import (
    EntrySettings,
    ModelCall,
    RequestResult,
    ServiceCallRequest,
)
from lagoonwing_entry.ports import ControlPort
from lagoonwing_http import BodyBudget
from lagoonwing_policy.models import ModelWork, RequestProfile, ServiceWork


@dataclass(slots=True)
class CallerContext:
    """Dependencies of the handlers."""

    settings: EntrySettings
    runner: RequestRunner
    services: ServiceCaller
    control: ControlPort
    directory: EndpointDirectory
    readiness: HostReadiness
    metrics: EntryMetrics
    clock: Clock
    budget: BodyBudget
    _request_numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    def next_request_id(self) -> RequestId:
        """Return a request id that is unique across hosts and restarts."""
        settings = self.settings
        return RequestId(
            f"{settings.host_id}-{settings.incarnation:x}-{next(self._request_numbers)}"
        )


class CallerHandler(BoundedHandler):
    """Base of the handlers of caller requests."""

    def initialize(self, context: CallerContext, **kwargs: Any) -> None:
        """Store the dependencies."""
        self.context = context
        caller = context.settings.caller
        self.limits = BodyLimits(caller.max_body_bytes, caller.body_timeout_s, context.budget)
        self.request_id = context.next_request_id()
        self.arrived = context.clock.now()
        self.member: Member | None = None
        self.call_task: asyncio.Future[RequestResult] | None = None

    def check_request(self) -> Refusal | None:
        """Check the API key."""
        match self._find_member():
            case Result(tag="ok", ok=member):
                self.member = member
                return None
            case Result(error=refusal):
                return refusal

    def on_connection_close(self) -> None:
        """Cancel the request when the caller disconnects."""
        super().on_connection_close()
        if self.call_task is not None:
            self.call_task.cancel()

    def refuse(self, refusal: Refusal, outcome: Outcome = Outcome.NOT_RUN) -> None:
        """Send, log and count a refusal."""
        log_event(
            EventCode.REQUEST_REFUSED,
            request=self.request_id,
            outcome=outcome.value,
            code=refusal.code.value,
            reason=refusal.detail,
        )
        self.count_finished(outcome, refusal.code)
        super().refuse(refusal, outcome)

    def count_finished(self, outcome: Outcome, code: ResultCode) -> None:
        """Count the finished request."""
        member_id = self.member.member_id if self.member is not None else ""
        self.context.metrics.request_finished(member_id, outcome, code)

    def host_refusal(self) -> Refusal | None:
        """Return why this host accepts no new requests, if so."""
        limit = self.context.settings.caller.max_open_requests
        if self.context.runner.active_count >= limit:
            return Refusal(ResultCode.QUEUE_FULL, "too many open requests", 1.0)
        return self.context.readiness.refusal()

    def deadline(self) -> Result[float, Refusal]:
        """Return the time by which the response must be complete."""
        caller = self.context.settings.caller
        text = self.request.headers.get(HEADER_DEADLINE_MS)
        if text is None:
            return Ok(self.arrived + caller.default_deadline_s)
        if not (text.isascii() and text.isdigit()) or len(text) > 12 or int(text) == 0:
            detail = f"{HEADER_DEADLINE_MS} must be a number of milliseconds"
            return Error(Refusal(ResultCode.DEADLINE_INVALID, detail))
        seconds = int(text) / 1000
        if seconds > caller.max_deadline_s:
            detail = f"{HEADER_DEADLINE_MS} passes {caller.max_deadline_s * 1000:.0f}"
            return Error(Refusal(ResultCode.DEADLINE_INVALID, detail))
        return Ok(self.arrived + seconds)

    def profile(
        self, call: ModelCall | ServiceCallRequest, deadline: float, idempotent: bool
    ) -> RequestProfile:
        """Return the description of the request for the scheduler."""
        assert self.member is not None
        work: ModelWork | ServiceWork
        match call:
            case ModelCall():
                work = model_work(call)
                fingerprint = model_fingerprint(call)
            case ServiceCallRequest():
                work = ServiceWork(call.service_id, call.method, call.path)
                fingerprint = service_fingerprint(call)
        log_event(
            EventCode.REQUEST_RECEIVED,
            request=self.request_id,
            member=self.member.member_id,
            work=type(work).__name__,
            fingerprint=fingerprint,
        )
        return RequestProfile(
            request_id=self.request_id,
            member_id=self.member.member_id,
            fingerprint=fingerprint,
            work=work,
            arrived=self.arrived,
            deadline=deadline,
            idempotent=idempotent,
        )

    async def async_finish_call(self, call: Coroutine[Any, Any, RequestResult]) -> RequestResult:
        """Run a call until it ends or the caller disconnects; log, count and return its result."""
        self.call_task = asyncio.ensure_future(call)
        try:
            finished = await self.call_task
        except asyncio.CancelledError:
            finished = RequestResult(Outcome.UNKNOWN, ResultCode.CALLER_GONE)
        self._log_finished(finished)
        return finished

    def _log_finished(self, finished: RequestResult) -> None:
        """Log and count a finished request."""
        self.count_finished(finished.outcome, finished.code)
        log_event(
            EventCode.REQUEST_FINISHED,
            request=self.request_id,
            outcome=finished.outcome.value,
            code=finished.code.value,
            ms=round((self.context.clock.now() - self.arrived) * 1000, 1),
        )

    def _find_member(self) -> Result[Member, Refusal]:
        """Return the member that the API key of the request belongs to."""
        authorization = self.request.headers.get("Authorization", "")
        key_hashes = tuple(bearer_key_hashes(authorization, MAX_KEY_BYTES))
        if not key_hashes:
            return Error(Refusal(ResultCode.BAD_KEY, "a bearer key is needed"))
        member_by_key_hash = self.context.control.view.member_by_key_hash
        members = (member_by_key_hash.get(key_hash) for key_hash in key_hashes)
        member = next((member for member in members if member is not None), None)
        if member is None:
            return Error(Refusal(ResultCode.BAD_KEY, "the key is not known"))
        if member.state is not EntityState.ACTIVE:
            return Error(Refusal(ResultCode.MEMBER_RETIRED, "the member is retired"))
        return Ok(member)


class ModelCard(msgspec.Struct):
    """Entry of the model list."""

    id: str
    object: str = "model"
    owned_by: str = "lagoonwing"


class ModelList(msgspec.Struct):
    """Models that endpoints currently serve."""

    data: list[ModelCard]
    object: str = "list"


class ModelsHandler(CallerHandler):
    """`GET /v1/models`."""

    async def get(self) -> None:
        """List the models."""
        if self.read_body() is None:
            return
        cards = [ModelCard(model) for model in self.context.directory.models()]
        self.set_result_headers(Outcome.DONE, ResultCode.OK)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(ModelList(cards)))


class NotFoundHandler(CallerHandler):
    """Refuses requests to unknown paths."""

    def check_request(self) -> Refusal | None:
        """Refuse the request."""
        return Refusal(ResultCode.NOT_FOUND, "no such path")

    async def _async_refuse(self) -> None:
        """Send the refusal once the body has arrived."""
        self.read_body()

    get = post = put = patch = delete = head = options = _async_refuse
