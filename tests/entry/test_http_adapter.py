"""Stage responses with matching headers and mismatched or malformed bodies."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec
import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import (
    Attempt,
    EndpointId,
    FailureDomainId,
    Incarnation,
    ModelId,
    RequestId,
)
from lagoonwing_core.models import EndpointKind, EndpointRecord, EndpointState, LayerRange
from lagoonwing_entry import AdapterSettings, HttpEndpointAdapter
from lagoonwing_entry.errors import DispatchError
from lagoonwing_entry.models import DispatchId, DispatchTarget, StageStep
from lagoonwing_policy.models import Dispatch

Change = Callable[[dict[str, Any]], Any]


class _StepHandler(RequestHandler):
    """Echoes the ids in the headers and modifies the body."""

    def initialize(self, changes: list[Change]) -> None:
        """Store the changes to apply."""
        self.changes = changes

    def post(self) -> None:
        """Respond with the modified request body."""
        for name in ("X-Request-Id", "X-Attempt"):
            self.set_header(name, self.request.headers[name])
        body = json.loads(self.request.body)
        for change in self.changes:
            body = change(body)
        self.finish(body if isinstance(body, bytes) else json.dumps(body).encode())


@pytest.fixture
async def stage() -> AsyncIterator[tuple[DispatchTarget, list[Change]]]:
    """Stage and the list of changes that it applies."""
    changes: list[Change] = []
    sock, port = bind_unused_port()
    handlers = [("/stage/step", _StepHandler, {"changes": changes})]
    server = HTTPServer(Application(handlers, log_function=lambda handler: None))
    server.add_socket(sock)
    record = EndpointRecord(
        endpoint_id=EndpointId("s"),
        incarnation=Incarnation(1),
        sequence=1,
        state=EndpointState.SERVING,
        kind=EndpointKind.STAGE,
        address="127.0.0.1",
        port=port,
        failure_domain=FailureDomainId("a"),
        models=(ModelId("m"),),
        layers=LayerRange(0, 4),
        layer_count=4,
    )
    yield DispatchTarget(record), changes
    server.stop()


STEP = StageStep(
    DispatchId(RequestId("r1"), Attempt(256)), 3, LayerRange(0, 4), msgspec.Raw(b'{"x":1}')
)


async def test_step_returns_the_state(stage: tuple[DispatchTarget, list[Change]]) -> None:
    """A matching response is accepted, and the connection is reused."""
    adapter = HttpEndpointAdapter(AdapterSettings(), LoopClock())
    for _ in range(3):
        state = await adapter.async_step(stage[0], STEP)
        assert msgspec.json.decode(state) == {"x": 1}
    await adapter.async_unload()


@pytest.mark.parametrize(
    "change",
    [
        lambda body: {**body, "request_id": "r2"},
        lambda body: {**body, "attempt": 255},
        lambda body: {**body, "token": 2},
        lambda body: {**body, "token": 4},
        lambda body: {**body, "first": 4, "end": 8},
        lambda body: {**body, "end": 3},
        lambda body: {"state": body["state"]},
        lambda body: b"{",
        lambda body: b"[" * 50_000,
        lambda body: b'{"state": "\xff"}',
    ],
)
async def test_mismatched_or_malformed_body_is_rejected(
    stage: tuple[DispatchTarget, list[Change]], change: Change
) -> None:
    """Request, attempt, token and layers are checked; a mismatch does not count as a crash."""
    target, changes = stage
    changes.append(change)
    adapter = HttpEndpointAdapter(AdapterSettings(), LoopClock())
    with pytest.raises(DispatchError) as raised:
        await adapter.async_step(target, STEP)
    assert raised.value.failure.dispatch is Dispatch.MAY_HAVE_RUN
    assert not raised.value.failure.endpoint_crashed
    await adapter.async_unload()
