"""Deployment of real processes for a proof, with caller and operator clients."""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from lagoonctl.client import OperatorClient, new_change_id
from lagoonctl.errors import CommandError
from lagoonwing_fakes.deployment import Deployment, DeploymentPlan
from lagoonwing_fakes.deployment.const import OPERATOR_KEY
from lagoonwing_fakes.models import FakeKind, FakeSettings, FaultPlan
from lagoonwing_rpc import operator_pb2 as pb
from proof.report import Run

MEMBER_KEY = "proof-member-key"
MODEL = "m1"
SERVICE = "workspace"
LAYERS = 24
REQUEST_TIMEOUT_S = 30.0
OPERATOR_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class Answer:
    """Response to a caller.

    Attributes:
        status: HTTP status; 0 without a complete response.
        outcome: Reported outcome, or empty.
    """

    status: int
    outcome: str
    code: int
    request_id: str
    body: bytes


NO_ANSWER = Answer(0, "", 0, "", b"")


@dataclass(slots=True)
class Site:
    """Running deployment and the clients to call it."""

    run: Run
    deployment: Deployment
    client: SimpleAsyncHTTPClient = field(
        default_factory=lambda: SimpleAsyncHTTPClient(force_instance=True, max_clients=2000)
    )

    def operators(self, *replicas: int, timeout: float = OPERATOR_TIMEOUT_S) -> OperatorClient:
        """Return an operator client for the given replicas, or for all."""
        addresses = self.deployment.operator_addresses()
        chosen = [addresses[number - 1] for number in replicas] if replicas else addresses
        return OperatorClient(chosen, OPERATOR_KEY, timeout)

    async def async_call_operator(self, client: OperatorClient, method: str, request: Any) -> Any:
        """Send an operator request in a thread; return the reply or the error."""
        try:
            return await asyncio.to_thread(client.call, method, request)
        except CommandError as error:
            return error

    def set_configuration(self, key: str, value: str, expected: int, change_id: str = "") -> Any:
        """Return the request that sets one key."""
        header = pb.ChangeHeader(change_id=change_id or new_change_id(), expected_revision=expected)
        return pb.ConfigurationChange(
            header=header, entry=pb.ConfigurationEntry(key=key, value=value)
        )

    async def async_leader(self) -> int:
        """Wait for a control leader and return its host number."""
        while True:
            for number in range(1, self.deployment.plan.replicas + 1):
                status = await self.async_status(number)
                if status is not None and status.role == "leader":
                    return number
            await asyncio.sleep(0.05)

    async def async_status(self, number: int) -> Any:
        """Return the status of a replica, or `None` if it does not answer."""
        with self.operators(number, timeout=1.0) as client:
            reply = await self.async_call_operator(client, "Status", pb.StatusRequest())
        return None if isinstance(reply, CommandError) else reply

    async def async_create_member(
        self, name: str = "member", key: str = MEMBER_KEY, **caps: Any
    ) -> None:
        """Create a member with an agreement."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        member = pb.Member(member_id=name, name=name, key_hashes=[digest])
        caps = caps or {"max_concurrency": 10_000}
        agreement = pb.Agreement(agreement_id=f"{name}-a", member_id=name, weight=1.0, **caps)
        with self.operators() as client:
            for method, request in (
                ("CreateMember", pb.MemberChange(header=_new_header(), member=member)),
                ("CreateAgreement", pb.AgreementChange(header=_new_header(), agreement=agreement)),
            ):
                await asyncio.to_thread(client.call, method, request)

    def add_whole_model(
        self, number: int, faults: FaultPlan | None = None, **settings: Any
    ) -> None:
        """Start a whole-model endpoint."""
        values = {"model": MODEL, "tokens_per_s": 800.0, "failure_domain": f"domain-{number % 3}"}
        self.deployment.start_endpoint(
            FakeSettings(FakeKind.WHOLE_MODEL, f"whole-{number}", **{**values, **settings}), faults
        )

    def add_stages(self, copies: int, **settings: Any) -> None:
        """Start the given number of pipelines of three stages."""
        width = LAYERS // 3
        for copy in range(copies):
            for stage in range(3):
                self.deployment.start_endpoint(
                    FakeSettings(
                        FakeKind.STAGE,
                        f"stage-{copy}-{stage}",
                        model=MODEL,
                        first=stage * width,
                        end=(stage + 1) * width,
                        layer_count=LAYERS,
                        exports_kv=True,
                        **{"tokens_per_s": 800.0, **settings},
                    )
                )

    def add_service(self, number: int, faults: FaultPlan | None = None, **settings: Any) -> None:
        """Start a service endpoint."""
        calls = ("GET:/names:idempotent", "POST:/reserve:once")
        self.deployment.start_endpoint(
            FakeSettings(
                FakeKind.SERVICE, f"service-{number}", service=SERVICE, calls=calls, **settings
            ),
            faults,
        )

    async def async_wait_endpoints(self, count: int, entries: list[int] | None = None) -> None:
        """Wait until the entry hosts know the given number of endpoints."""
        numbers = entries or list(range(1, self.deployment.plan.entries + 1))

        def known() -> bool:
            gauges = [self.deployment.gauge(number, "endpoints") for number in numbers]
            return all(value == count for value in gauges)

        await self.deployment.async_wait(known, f"{count} endpoints at entry hosts {numbers}")

    async def async_chat(
        self, entry: int, prompt: str, *, stream: bool = False, key: str = MEMBER_KEY
    ) -> Answer:
        """Request a chat completion."""
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "stream": stream,
        }
        return await self.async_post(entry, "/v1/chat/completions", body, {}, key)

    async def async_reserve(self, entry: int, idempotency_key: str, name: str) -> Answer:
        """Send a call that must run at most once."""
        headers = {"Idempotency-Key": idempotency_key}
        return await self.async_post(entry, f"/services/{SERVICE}/reserve", {"name": name}, headers)

    async def async_post(
        self,
        entry: int,
        path: str,
        body: dict[str, Any],
        headers: dict[str, str],
        key: str = MEMBER_KEY,
    ) -> Answer:
        """Send a POST; return `NO_ANSWER` if no complete response arrives."""
        request = HTTPRequest(
            self.deployment.caller_url(entry) + path,
            method="POST",
            headers={
                "Authorization": f"Bearer {key}",
                "Content-Type": "application/json",
                **headers,
            },
            body=json.dumps(body),
            connect_timeout=2.0,
            request_timeout=REQUEST_TIMEOUT_S,
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            return NO_ANSWER
        if response.code == 599:
            return NO_ANSWER
        return Answer(
            response.code,
            response.headers.get("X-Outcome", ""),
            int(response.headers.get("X-Result-Code", "0")),
            response.headers.get("X-Request-Id", ""),
            response.body,
        )

    def reservations(self) -> dict[str, int]:
        """Return the number of effects of each idempotency key."""
        counts: dict[str, int] = {}
        for line in self.deployment.all_execution_log_entries():
            if line["event"] == "effect" and line.get("path") == "/reserve":
                counts[line["key"]] = counts.get(line["key"], 0) + 1
        return counts

    def count_starts(self, endpoint_id: str) -> int:
        """Return the number of requests started by an endpoint."""
        return sum(
            line["event"] == "start" for line in self.deployment.execution_log_entries(endpoint_id)
        )


def chat_text(answer: Answer) -> str:
    """Return the text of a complete chat answer or stream, else an empty string."""
    if answer.status != 200:
        return ""
    if not answer.body.startswith(b"data:"):
        return str(json.loads(answer.body)["choices"][0]["message"]["content"])
    lines = answer.body.decode().splitlines()
    if "data: [DONE]" not in lines:
        return ""
    events = [json.loads(line[6:]) for line in lines if line.startswith("data: {")]
    deltas = [choice["delta"] for event in events for choice in event.get("choices", [])]
    return "".join(delta.get("content") or "" for delta in deltas)


def _new_header() -> pb.ChangeHeader:
    """Return the header of a change that creates an entity."""
    return pb.ChangeHeader(change_id=new_change_id(), expected_revision=0)


@asynccontextmanager
async def async_site(
    run: Run, entries: int = 4, replicas: int = 4, **plan: Any
) -> AsyncIterator[Site]:
    """Run a deployment, ready to serve, for the duration of the context."""
    deployment = Deployment(
        DeploymentPlan(run.folder, run.network, entries=entries, replicas=replicas, **plan)
    )
    try:
        deployment.start_hosts()
        await deployment.async_wait_ready()
        yield Site(run, deployment)
    finally:
        deployment.close()
