"""Fake endpoints: deterministic tokens, stage ordering, announcements of a process."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from lagoonwing_fakes import FakeEndpoint, FakeKind, FakeSettings, expected_text
from lagoonwing_fakes.__main__ import parse_arguments
from lagoonwing_fakes.models import Fault

_HANG_TIMEOUT_S = 20.0


@pytest.fixture
async def stage(tmp_path: Path) -> AsyncIterator[FakeEndpoint]:
    """A fake stage in the middle of a pipeline."""
    settings = FakeSettings(
        FakeKind.STAGE, "s", first=4, end=8, layer_count=12, log_path=str(tmp_path / "log")
    )
    endpoint = FakeEndpoint(settings)
    await endpoint.async_setup()
    yield endpoint
    await endpoint.async_unload()


async def _async_post(endpoint: FakeEndpoint, path: str, body: dict[str, Any]) -> HTTPResponse:
    """Send a JSON POST request."""
    url = f"http://127.0.0.1:{endpoint.port}{path}"
    return await AsyncHTTPClient().fetch(
        url, method="POST", body=json.dumps(body), raise_error=False
    )


async def _async_step(endpoint: FakeEndpoint, attempt: int, token: int, **fields: Any) -> int:
    """Run one step and return the HTTP status."""
    state = {"layers": 4, "seed": "s", "limit": 9}
    body = {"request_id": "r", "attempt": attempt, "token": token, "first": 4, "end": 8}
    response = await _async_post(endpoint, "/stage/step", {**body, "state": state, **fields})
    return response.code


def test_tokens_depend_on_prompt() -> None:
    """The same prompt yields the same tokens; another prompt yields different ones."""
    assert expected_text("a") == expected_text("a")
    assert expected_text("a") != expected_text("b")
    assert expected_text("a [tokens=5]").count(" ") == 5
    assert expected_text("a [tokens=5]", 3).count(" ") == 3


async def test_stage_refuses_steps_out_of_order(stage: FakeEndpoint) -> None:
    """Skipped and repeated tokens, wrong layer ranges and wrong input layers are refused."""
    assert await _async_step(stage, 1, 1) == 409
    assert await _async_step(stage, 1, 0) == 200
    assert await _async_step(stage, 1, 0) == 409
    assert await _async_step(stage, 1, 2) == 409
    assert await _async_step(stage, 1, 1, first=0) == 409
    assert await _async_step(stage, 1, 1, state={"layers": 0}) == 409
    assert await _async_step(stage, 1, 1) == 200


async def test_higher_attempt_fences_lower_attempt(stage: FakeEndpoint) -> None:
    """After a replay with a higher attempt number, the old attempt is refused."""
    assert await _async_step(stage, 1, 0) == 200
    replay = {"request_id": "r", "attempt": 2, "prompt": "p", "max_tokens": 9, "tokens": ["a"]}
    response = await _async_post(stage, "/stage/replay", {**replay, "first": 4, "end": 8})
    assert response.code == 200
    assert await _async_step(stage, 1, 1) == 409
    assert await _async_step(stage, 2, 1) == 200


class _AnnounceRecorder(RequestHandler):
    """Records announcements."""

    def initialize(self, records: list[dict[str, Any]]) -> None:
        """Store the list of records."""
        self.records = records

    def post(self) -> None:
        """Record an announcement."""
        assert self.request.headers["Authorization"] == "Bearer k"
        self.records.append(json.loads(self.request.body))
        self.finish({"renew_after_s": 0.01, "entries": []})


async def test_process_announces_renews_and_leaves() -> None:
    """Sequence numbers increase within one incarnation; SIGTERM triggers the leave."""
    records: list[dict[str, Any]] = []
    sock, port = bind_unused_port()
    server = HTTPServer(
        Application(
            [("/announce", _AnnounceRecorder, {"records": records})],
            log_function=lambda handler: None,
        )
    )
    server.add_socket(sock)
    arguments = ["--kind", "whole_model", "--endpoint-id", "w", "--endpoint-key", "k"]
    # The first entry host is unreachable, so the endpoint fails over to the next.
    arguments += ["--entries", "127.0.0.1:1", "--entries", f"127.0.0.1:{port}"]
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "lagoonwing_fakes", *arguments, stdout=asyncio.subprocess.DEVNULL
    )
    try:
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            while len(records) < 3:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
        server.stop()
    sequences = [record["sequence"] for record in records]
    assert sequences == sorted(set(sequences))
    assert len({record["incarnation"] for record in records}) == 1
    assert records[0]["state"] == "serving"
    assert records[-1]["state"] == "leaving"


def test_command_line_options() -> None:
    """Settings and faults can be set by options."""
    arguments = ["--kind", "service", "--endpoint-id", "v", "--service", "names"]
    arguments += ["--calls", "POST:/reserve:once", "--no-log-tokens", "--slots", "3"]
    arguments += ["--fault", "late", "--fault-delay-s", "0.5"]
    settings, plan = parse_arguments(arguments)
    assert settings.kind is FakeKind.SERVICE
    assert settings.calls == ("POST:/reserve:once",)
    assert not settings.log_tokens
    assert settings.slots == 3
    assert plan.fault is Fault.LATE
    assert plan.delay_s == 0.5
