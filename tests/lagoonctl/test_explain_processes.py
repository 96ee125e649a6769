"""Failures of real processes, each diagnosed from the output of `lagoonctl explain` alone."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from datetime import datetime
from pathlib import Path

import pytest
from tornado.httpclient import HTTPResponse

from lagoonctl.const import ExitCode
from lagoonctl.main import run
from lagoonwing_fakes.platform import SystemProcess
from soak.client import async_send_request
from soak.const import CALL_TIMEOUT_S
from soak.endpoints import LinkFault, SoakEndpoint
from soak.run import SoakRun

WAIT_S = 20.0
# Burst allowance of the log rate limit, in seconds at the configured rate.
BURST_S = 2.0


class FaultDeployment:
    """Three registries, two gateways, and endpoints with injected faults."""

    def __init__(self, folder: Path, network: int) -> None:
        self._folder = folder
        self._soak = SoakRun(network, 0.0, folder)
        self._request_count = 0

    async def async_setup(self) -> None:
        """Start all processes and wait until a stream and a call are served."""
        await self._soak.async_start()
        for kind in ("safe", "stream"):
            await self.async_wait_served(kind)

    async def async_unload(self) -> None:
        """Stop all processes."""
        await self._soak.async_stop()

    @property
    def gateway(self) -> SystemProcess:
        """The gateway that receives the requests."""
        return self._soak.context.processes.gateways[0]

    def endpoints(self, service: str) -> list[SoakEndpoint]:
        """Return the endpoints of a service."""
        return [one for one in self._soak.context.endpoints if one.service == service]

    async def async_announce(self, state: str) -> None:
        """Announce a state for all plain endpoints, and readiness for all engines."""
        for endpoint in self._soak.context.endpoints:
            is_plain = endpoint.service == "plain"
            await self._soak.operators.async_announce(endpoint, state if is_plain else "ready")

    async def async_send(self, kind: str) -> tuple[str, HTTPResponse | None]:
        """Send a request; return its id and the response, if any."""
        self._request_count += 1
        attempt_id = f"{kind}-{self._request_count}"
        return attempt_id, await async_send_request(self.gateway, kind, attempt_id)

    async def async_wait_served(self, kind: str) -> None:
        """Send requests until one succeeds, announcing the endpoints in between."""
        async with asyncio.timeout(WAIT_S):
            while True:
                await self.async_announce("ready")
                _, response = await self.async_send(kind)
                if response is not None and response.code == 200:
                    return

    async def async_wait_refused(self, kind: str) -> str:
        """Send requests until one is refused; return its id."""
        async with asyncio.timeout(WAIT_S):
            while True:
                attempt_id, response = await self.async_send(kind)
                if response is not None and response.code == 503:
                    return attempt_id

    async def async_wait_running(self, additional: int) -> None:
        """Wait until endpoints have started the given number of additional requests."""
        runs_by_id = self._soak.context.requests.runs_by_id
        wanted = runs_by_id.total() + additional
        async with asyncio.timeout(WAIT_S):
            while runs_by_id.total() < wanted:  # noqa: ASYNC110
                await asyncio.sleep(0.001)

    def explain(self, attempt_id: str, capsys: pytest.CaptureFixture[str]) -> list[dict[str, str]]:
        """Return the timeline that the command prints for a request."""
        capsys.readouterr()
        files = [str(path) for path in sorted(self._folder.glob("*.log"))]
        assert run(["explain", "--json", attempt_id, *files]) == ExitCode.OK
        return [json.loads(line) for line in capsys.readouterr().out.splitlines()]


@pytest.fixture
async def deployment(
    tmp_path: Path, request: pytest.FixtureRequest
) -> AsyncIterator[FaultDeployment]:
    """Run a deployment on its own loopback addresses."""
    deployment = FaultDeployment(tmp_path, request.param)
    try:
        await deployment.async_setup()
        yield deployment
    finally:
        await deployment.async_unload()


@pytest.mark.parametrize("deployment", [151], indirect=True)
async def test_refused_when_all_endpoints_drain(
    deployment: FaultDeployment, capsys: pytest.CaptureFixture[str]
) -> None:
    """The timeline shows that each endpoint announced `draining`, though slots were free."""
    await deployment.async_announce("draining")
    timeline = deployment.explain(await deployment.async_wait_refused("safe"), capsys)
    refused = next(line for line in timeline if line["name"] == "request_refused")
    assert refused["reason"] == "no endpoint can take the call"
    draining = {
        line["endpoint"]
        for line in timeline
        if line["name"] == "endpoint_announced" and line["state"] == "draining"
    }
    assert draining == {one.endpoint_id for one in deployment.endpoints("plain")}


@pytest.mark.parametrize("deployment", [152], indirect=True)
async def test_stream_fails_when_engines_reset_connections(
    deployment: FaultDeployment, capsys: pytest.CaptureFixture[str]
) -> None:
    """Each failed attempt of the stream names its endpoint."""
    pending = asyncio.ensure_future(deployment.async_send("stream"))
    await deployment.async_wait_running(1)
    for endpoint in deployment.endpoints("engines"):
        endpoint.fault = LinkFault.RESET
    attempt_id, response = await pending
    assert response is None or response.code == 502
    timeline = deployment.explain(attempt_id, capsys)
    (unserved,) = [line for line in timeline if line["name"] == "stream_unserved"]
    # A reset may overtake the first event; then nothing was sent to the caller yet.
    assert unserved["outcome"] == ("aborted" if response is None else "refused")
    ended = [line for line in timeline if line["name"] == "attempt_ended"]
    engines = {one.endpoint_id for one in deployment.endpoints("engines")}
    assert ended
    assert {line["endpoint"] for line in ended} <= engines
    assert all(line["outcome"] == "failed" for line in ended)


@pytest.mark.parametrize("deployment", [153], indirect=True)
async def test_outcome_unknown_when_response_is_lost(
    deployment: FaultDeployment, capsys: pytest.CaptureFixture[str]
) -> None:
    """The call ran once; its only attempt ended without a response."""
    for endpoint in deployment.endpoints("plain"):
        endpoint.fault = LinkFault.LOST_ANSWER
        # One that declines a request has not run it, and that is another story.
        endpoint.declined_share = 0.0
    attempt_id, response = await deployment.async_send("unsafe")
    assert response is not None
    assert response.code == 502
    timeline = deployment.explain(attempt_id, capsys)
    (ended,) = [line for line in timeline if line["name"] == "attempt_ended"]
    refused = next(line for line in timeline if line["name"] == "request_refused")
    assert ended["outcome"] == "failed"
    assert refused["outcome"] == "unknown"
    assert refused["reason"] == ended["reason"]


@pytest.mark.parametrize("deployment", [154], indirect=True)
async def test_unread_log_does_not_block_callers(deployment: FaultDeployment) -> None:
    """When the log pipe is full, lines are dropped and counted, and no request is lost."""
    deployment.gateway.stop()
    deployment.gateway.start_with_unread_stdout()
    await deployment.async_wait_served("safe")
    async with asyncio.timeout(CALL_TIMEOUT_S * 10):
        for _ in range(10):
            responses = await asyncio.gather(*(deployment.async_send("stream") for _ in range(40)))
            assert all(response is not None for _, response in responses)


@pytest.mark.parametrize("deployment", [155], indirect=True)
async def test_log_lines_over_the_rate_limit_are_dropped(
    deployment: FaultDeployment,
) -> None:
    """Under any request load, a process writes at most its rate limit plus one burst."""
    lines_per_s = 20
    gateway = deployment.gateway
    settings = json.loads(gateway.settings.read_text(encoding="utf-8"))
    gateway.settings.write_text(json.dumps({**settings, "log_lines_per_s": lines_per_s}))
    gateway.stop()
    gateway.log.unlink()
    gateway.start()
    await deployment.async_wait_served("safe")
    await asyncio.gather(*(deployment.async_send("safe") for _ in range(300)))
    lines = [json.loads(line) for line in gateway.log.read_text(encoding="utf-8").splitlines()]
    times = [datetime.fromisoformat(line["time"]) for line in lines]
    elapsed_s = (max(times) - min(times)).total_seconds()
    assert len(lines) <= lines_per_s * (elapsed_s + BURST_S) + 1
    assert any(line["name"] == "log_lines_dropped" for line in lines) or len(lines) < 300
