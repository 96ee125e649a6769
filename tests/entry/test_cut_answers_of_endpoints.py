"""Second answers that are cut at each byte, on the way from endpoints to an entry host."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import pytest
from cut_cases import PARALLEL_CASES, describe
from cutting_endpoints import (
    ARRIVAL_S,
    Case,
    Connection,
    Cut,
    CuttingEndpoint,
    Moment,
    Owner,
    case_ids,
    cuts_of,
)
from raw_answers import Answer, AnswerMaker, Framing

from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import (
    Attempt,
    EndpointId,
    FailureDomainId,
    Incarnation,
    ModelId,
    RequestId,
    ServiceId,
)
from lagoonwing_core.models import EndpointKind, EndpointRecord, EndpointState
from lagoonwing_entry import AdapterSettings, HttpEndpointAdapter
from lagoonwing_entry.const import HEADER_ATTEMPT, HEADER_OUTCOME, HEADER_REQUEST_ID
from lagoonwing_entry.errors import DispatchError
from lagoonwing_entry.models import (
    CompletionDispatch,
    CompletionKind,
    DispatchId,
    DispatchTarget,
    ModelCall,
    ServiceCallRequest,
)
from lagoonwing_policy.models import Dispatch, Priority

ATTEMPT = 256
# Bounds a request whose answer was swallowed.
SETTINGS = AdapterSettings(
    idle_timeout_s=1.0, first_byte_timeout_s=1.0, step_timeout_s=1.0, report_timeout_s=1.0
)
TOKENS = 4
STAMP_HEADER = "X-Stamp"
NOT_RUN_LINE = f"{HEADER_OUTCOME}: not_run"

# Sends a request with an id; returns what the caller gets, or None for a failure of its own.
Caller = Callable[[HttpEndpointAdapter, DispatchTarget, str], Awaitable[object]]


def _answer(
    status: int, stamp: str, body: bytes, *lines: str, framing: Framing = Framing.LENGTH
) -> AnswerMaker:
    """Return the maker of an answer that echoes the ids of a dispatch."""

    def make(request_id: str | None) -> Answer:
        echo = () if request_id is None else (f"{HEADER_ATTEMPT}: {ATTEMPT}",)
        extra_lines = (*echo, f"{STAMP_HEADER}: {stamp}", *lines)
        return Answer(
            status, request_id, stamp, body, framing, extra_lines, id_header=HEADER_REQUEST_ID
        )

    return make


async def _async_call(
    adapter: HttpEndpointAdapter, target: DispatchTarget, request_id: str
) -> object:
    """Run a service call."""
    call = ServiceCallRequest(ServiceId("s"), "GET", "/x", (), b"")
    try:
        response = await adapter.async_call_service(target, _dispatch(request_id), call, False)
    except DispatchError as error:
        return _own_failure(error)
    return (response.status, dict(response.headers)[STAMP_HEADER], response.body)


async def _async_complete(
    adapter: HttpEndpointAdapter, target: DispatchTarget, request_id: str
) -> object:
    """Run a completion."""
    call = ModelCall(CompletionKind.TEXT, ModelId("m"), "", 0, TOKENS, True, {})
    completion = CompletionDispatch(_dispatch(request_id), Priority.NORMAL, call, 0, "")
    texts: list[str] = []
    try:
        async for batch in adapter.tokens(target, completion):
            texts += [token.text for token in batch.tokens]
    except DispatchError as error:
        return _own_failure(error) if not texts else tuple(texts)
    return (*texts, "end")


async def _async_load(
    adapter: HttpEndpointAdapter, target: DispatchTarget, request_id: str
) -> object:
    """Request a load report."""
    try:
        return (await adapter.async_load(target)).running
    except DispatchError as error:
        return _own_failure(error)


def _own_failure(error: DispatchError) -> object:
    """Return None for a dispatch that may have run, and what it is called otherwise."""
    dispatch = error.failure.dispatch
    return None if dispatch is Dispatch.MAY_HAVE_RUN else dispatch


def _dispatch(request_id: str) -> DispatchId:
    """Return the id of the dispatch of a request."""
    return DispatchId(RequestId(request_id), Attempt(ATTEMPT))


def _target(port: int) -> DispatchTarget:
    """Return an endpoint as the target of dispatches."""
    record = EndpointRecord(
        endpoint_id=EndpointId("s"),
        incarnation=Incarnation(1),
        sequence=1,
        state=EndpointState.SERVING,
        kind=EndpointKind.SERVICE,
        address="127.0.0.1",
        port=port,
        failure_domain=FailureDomainId("a"),
    )
    return DispatchTarget(record)


@dataclass
class ReportingEndpoint(CuttingEndpoint):
    """An endpoint whose requests all have one id; they are told apart by their order."""

    def identify(self, attempt_id: str) -> str:
        """Return the id by which a request is known to the case."""
        return (*self.ids, f"c-{len(self.runs)}")[min(len(self.runs), len(self.ids))]


async def _async_run_cases(
    cases: list[Case],
    async_send: Caller,
    sound: object,
    due: tuple[object, ...],
    endpoint_type: type[CuttingEndpoint] = CuttingEndpoint,
) -> list[str]:
    """Play each case at an endpoint of its own; return what broke the rule on mixed answers.

    Args:
        cases: Cases to play.
        async_send: Sends a request.
        sound: What the requests before and after the due one get.
        due: What the due one may get.
        endpoint_type: Kind of the endpoints.
    """
    places = asyncio.Semaphore(PARALLEL_CASES)
    faults: list[str] = []
    kept: list[bool] = []

    async def async_run_case(number: int, case: Case) -> None:
        async with places:
            endpoint = endpoint_type(case, case_ids(number), id_header=HEADER_REQUEST_ID)
            await endpoint.async_start()
            adapter, target = HttpEndpointAdapter(SETTINGS, LoopClock()), _target(endpoint.port)
            try:
                results = []
                for request_id in (*case_ids(number), f"c-{number:04}"):
                    results.append(await async_send(adapter, target, request_id))
                    await asyncio.sleep(ARRIVAL_S)
            finally:
                await adapter.async_unload()
                await endpoint.async_stop()
            kept.append(endpoint.due_connection is Connection.KEPT)
            if results[1] not in due or results[::2] != [sound, sound]:
                faults.append(f"{case.label}: {results}")

    await asyncio.gather(*(async_run_case(number, case) for number, case in enumerate(cases)))
    if cases[0].moment is Moment.FRONT:
        assert sum(kept) > len(cases) * 0.9
    return faults


SOUND_CALL = _answer(200, "own", b"answer")
FAILED_CALL = _answer(500, "due", b"failed")


# Guards against a status line of one answer with the headers and the body of another.
@pytest.mark.parametrize(
    ("moment", "owner"),
    [
        (Moment.BEHIND, Owner.EARLIER),
        (Moment.IDLE, Owner.NOBODY),
        (Moment.FRONT, Owner.EARLIER),
        (Moment.FRONT, Owner.DUE),
    ],
    ids=lambda value: value.value,
)
async def test_cut_answer_does_not_join_the_answer_of_a_service(
    moment: Moment, owner: Owner
) -> None:
    """A service call gets its own answer, or fails as one that may have run."""
    cuts = cuts_of([_answer(503, "second", b"", NOT_RUN_LINE)], owner)
    if moment is Moment.FRONT:
        cuts += cuts_of([_answer(200, "second", b"late")], owner)
    cases = [Case(cut, moment, FAILED_CALL, make_sound=SOUND_CALL) for cut in cuts]
    sound, due = (200, "own", b"answer"), (500, "due", b"failed")
    faults = await _async_run_cases(cases, _async_call, sound, (None, due))
    assert not faults, describe(faults, len(cases))


def _completion(text: str, framing: Framing) -> AnswerMaker:
    """Return the maker of a whole completion."""

    def make(request_id: str | None) -> Answer:
        events = []
        for token in range(TOKENS):
            choice = {"text": text, "finish_reason": "stop" if token == TOKENS - 1 else None}
            chunk = {"id": request_id, "attempt": ATTEMPT, "choices": [choice], "token": token}
            events.append(f"data: {json.dumps(chunk)}\n\n")
        body = "".join([*events, "data: [DONE]\n\n"]).encode()
        return _answer(200, text, body, framing=framing)(request_id)

    return make


# Guards against the tokens of two answers in one completion.
@pytest.mark.parametrize(
    "framing", [Framing.LENGTH, Framing.ONE_CHUNK], ids=lambda framing: framing.value
)
async def test_completion_that_is_cut_and_written_again_is_not_joined(framing: Framing) -> None:
    """The caller gets tokens of the first answer only, and no end before the last one."""
    due, second = _completion("t", framing), _completion("second", framing)

    def cut_at(end: int) -> Cut:
        return Cut(
            f"due[:{end}]", lambda _, due_id: due(due_id).content[:end] + second(due_id).content
        )

    size = len(due(case_ids(0)[1]).content)
    sound = _completion("t", Framing.CHUNKS)
    cases = [Case(cut_at(end), Moment.INSTEAD, due, make_sound=sound) for end in range(1, size)]
    whole = ("t",) * TOKENS
    begins = tuple(whole[:count] for count in range(1, TOKENS + 1))
    allowed = (None, *begins, (*whole, "end"))
    faults = await _async_run_cases(cases, _async_complete, (*whole, "end"), allowed)
    assert not faults, describe(faults, len(cases))


# Guards against the load of another answer, and against a failure that is read as a report.
async def test_cut_answer_does_not_join_a_load_report() -> None:
    """A report, which need not echo ids, is read as strictly as other answers."""
    sound = _answer(200, "own", b'{"running":1,"queued":0,"kv_tokens_used":0}')
    failed = _answer(500, "due", b'{"running":2,"queued":0,"kv_tokens_used":0}')
    second = _answer(200, "second", b'{"running":3,"queued":0,"kv_tokens_used":0}')

    cases = [
        Case(cut, moment, lambda _: failed(None), make_sound=lambda _: sound(None))
        for moment in (Moment.BEHIND, Moment.FRONT)
        # A whole report without ids can't be told from the due one.
        for cut in cuts_of([second], Owner.NOBODY)[:-1]
    ]
    faults = await _async_run_cases(cases, _async_load, 1, (None,), ReportingEndpoint)
    assert not faults, describe(faults, len(cases))
