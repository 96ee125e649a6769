"""Demonstration with real processes: operators, endpoints, callers and an at-most-once call."""

from __future__ import annotations

import asyncio
import json
import shutil
import sys
import tempfile
from pathlib import Path
from typing import Any

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from demo.report import DemoError, expect, say
from demo.site import SiteDemo
from lagoonwing_fakes.deployment import Deployment, DeploymentPlan
from lagoonwing_fakes.models import FakeKind, FakeSettings
from lagoonwing_fakes.tokens import expected_text

NETWORK = "77.1"
LAYERS = 24
STAGES = 3
MEMBER_KEY = "demo-member-key"
TIMEOUT_S = 20.0


class Demo:
    """The steps of the demonstration."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._client = SimpleAsyncHTTPClient(force_instance=True)

    async def async_run(self) -> None:
        """Run all steps."""
        self._deployment.start_hosts()
        await self._deployment.async_wait_ready()
        say("started: 4 entry hosts and 3 control replicas")
        self._operate()
        await self._async_start_endpoints()
        await self._async_show_completions()
        await self._async_show_refusals()
        await self._async_show_services()

    def _operate(self) -> None:
        """Create a member and an agreement."""
        say("\noperators: a member and an agreement")
        for command in (
            ("member", "create", "acme", "--name", "Acme", "--key", MEMBER_KEY),
            ("agreement", "create", "acme-2026", "--member", "acme", "--max-concurrency", "50"),
            ("status",),
        ):
            say(f"$ lagoonctl {' '.join(command)}")
            say(self._deployment.run_lagoonctl(*command).stdout.rstrip())

    async def _async_start_endpoints(self) -> None:
        """Start two whole-model endpoints, a pipeline of three stages and a plain service."""
        for number in (1, 2):
            self._deployment.start_endpoint(
                FakeSettings(
                    FakeKind.WHOLE_MODEL, f"whole-{number}", model="whole", tokens_per_s=400.0
                )
            )
        width = LAYERS // STAGES
        for stage in range(STAGES):
            self._deployment.start_endpoint(
                FakeSettings(
                    FakeKind.STAGE,
                    f"stage-{stage + 1}",
                    model="staged",
                    first=stage * width,
                    end=(stage + 1) * width,
                    layer_count=LAYERS,
                    tokens_per_s=400.0,
                )
            )
        calls = ("GET:/names:idempotent", "POST:/reserve:once")
        self._deployment.start_endpoint(
            FakeSettings(FakeKind.SERVICE, "workspace-1", service="workspace", calls=calls)
        )
        await self._async_wait_models()
        say("\nendpoints announced themselves: 2 whole models, 3 stages, 1 plain service")

    async def _async_wait_models(self) -> None:
        """Wait until every entry host serves both models and the service."""
        for number in range(1, self._deployment.plan.entries + 1):
            for _ in range(200):
                models = json.loads((await self._async_get(number, "/v1/models")).body or b"{}")
                names = {entry["id"] for entry in models.get("data", [])}
                service = await self._async_get(number, "/services/workspace/names")
                if {"whole", "staged"} <= names and service.code == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise DemoError(f"entry host {number} does not know every endpoint")

    async def _async_show_completions(self) -> None:
        """Request unary and streamed completions from both models."""
        for model in ("whole", "staged"):
            for stream in (False, True):
                await self._async_show_completion(model, stream)

    async def _async_show_completion(self, model: str, stream: bool) -> None:
        """Request one completion and check that the answer matches the prompt."""
        prompt = f"Names for a {model} canvas [tokens=12]"
        say(f"\ncaller: chat completion of {model!r}, {'streamed' if stream else 'not streamed'}")
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "stream": stream,
        }
        answer = await self._async_post(1, "/v1/chat/completions", body)
        request_id = answer.headers.get("X-Request-Id", "")
        text = _streamed_text(answer) if stream else _unary_text(answer)
        outcome = _streamed_outcome(answer) if stream else answer.headers.get("X-Outcome")
        say(f"  answer: {text.strip()!r}")
        say(f"  request {request_id}, outcome {outcome}")
        expect(text == expected_text(f"user: {prompt}"), "the answer matches the prompt")
        ran = [
            line
            for line in self._deployment.all_execution_log_entries()
            if request_id in json.dumps(line)
        ]
        endpoints = sorted({line["endpoint"] for line in ran})
        say(f"  ran on: {', '.join(endpoints)}")
        expect(
            len(endpoints) == (STAGES if model == "staged" else 1),
            "ran on the expected number of endpoints",
        )

    async def _async_show_refusals(self) -> None:
        """Show refused requests, which report that nothing ran."""
        say("\ncaller: refusals")
        body = {"model": "whole", "messages": [{"role": "user", "content": "x"}]}
        for what, answer in (
            (
                "unknown model",
                await self._async_post(2, "/v1/chat/completions", {**body, "model": "?"}),
            ),
            ("wrong key", await self._async_post(2, "/v1/chat/completions", body, key="wrong")),
        ):
            outcome = answer.headers.get("X-Outcome")
            code = answer.headers.get("X-Result-Code")
            say(f"  {what}: HTTP {answer.code}, outcome {outcome}, code {code}")
            expect(outcome == "not_run", "refused before anything ran")

    async def _async_show_services(self) -> None:
        """Send the same at-most-once call through two entry hosts."""
        say("\ncaller: the same reservation through entry hosts 1 and 2")
        headers = {"Idempotency-Key": "reserve-42"}
        answers = [
            await self._async_post(
                number, "/services/workspace/reserve", {"name": "Velamar"}, headers=headers
            )
            for number in (1, 2)
        ]
        for answer in answers:
            outcome = answer.headers.get("X-Outcome")
            code = answer.headers.get("X-Result-Code")
            say(f"  HTTP {answer.code}, outcome {outcome}, code {code}: {answer.body.decode()}")
        expect(answers[0].body == answers[1].body, "both callers got the same answer")
        effects = [
            line
            for line in self._deployment.execution_log_entries("workspace-1")
            if line["event"] == "effect"
        ]
        reservations = [line for line in effects if "/reserve" in json.dumps(line)]
        for line in reservations:
            say(f"  effect log: {json.dumps(line)}")
        expect(len(reservations) == 1, "the reservation ran once")

    async def _async_get(self, number: int, path: str) -> HTTPResponse:
        """Send a GET to an entry host."""
        request = HTTPRequest(
            self._deployment.caller_url(number) + path,
            headers={"Authorization": f"Bearer {MEMBER_KEY}"},
            request_timeout=TIMEOUT_S,
        )
        return await self._client.fetch(request, raise_error=False)

    async def _async_post(
        self,
        number: int,
        path: str,
        body: dict[str, Any],
        key: str = MEMBER_KEY,
        headers: dict[str, str] | None = None,
    ) -> HTTPResponse:
        """Send a POST to an entry host."""
        request = HTTPRequest(
            self._deployment.caller_url(number) + path,
            method="POST",
            headers={
                "Authorization": f"Bearer {key}",
                "Content-Type": "application/json",
                **(headers or {}),
            },
            body=json.dumps(body),
            request_timeout=TIMEOUT_S,
        )
        return await self._client.fetch(request, raise_error=False)


def _events(answer: HTTPResponse) -> list[dict[str, Any]]:
    """Return the JSON events of a stream."""
    lines = answer.body.decode().splitlines()
    return [json.loads(line[6:]) for line in lines if line.startswith("data: {")]


def _streamed_text(answer: HTTPResponse) -> str:
    """Return the text of a streamed answer."""
    deltas = [choice["delta"] for event in _events(answer) for choice in event.get("choices", [])]
    return "".join(delta.get("content") or "" for delta in deltas)


def _streamed_outcome(answer: HTTPResponse) -> str:
    """Return the outcome sent at the end of a stream."""
    outcomes = [event["outcome"] for event in _events(answer) if "outcome" in event]
    return outcomes[-1] if outcomes else "missing"


def _unary_text(answer: HTTPResponse) -> str:
    """Return the text of an answer that is not streamed."""
    document = json.loads(answer.body)
    if "choices" not in document:
        raise DemoError(f"HTTP {answer.code}: {document}")
    return str(document["choices"][0]["message"]["content"])


async def async_main() -> int:
    """Run the demonstration; its data is removed on success and kept on failure."""
    folder = Path(tempfile.mkdtemp(prefix="lagoonwing-demo-"))
    deployment = Deployment(DeploymentPlan(folder, NETWORK, entries=4, replicas=3))
    try:
        await Demo(deployment).async_run()
        await SiteDemo(folder).async_run()
    except Exception:
        say(f"\nlogs and data kept in {folder}")
        raise
    finally:
        deployment.close()
    shutil.rmtree(folder, ignore_errors=True)
    say("\ndemonstration succeeded")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(async_main()))
