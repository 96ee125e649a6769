"""Simulated callers, and checks on the responses and on the requests that endpoints ran."""

from __future__ import annotations

import asyncio

from tornado.httpclient import HTTPResponse

from lagoonwing_platform.const import HEADER_SIGNATURE
from soak.client import async_send_request
from soak.const import ANSWER_TIMEOUT_S, EVENTS, MAX_ROUTING_DELAY_AFTER_DRAIN_S
from soak.crashing_part import CRASHING_SHARE, prompt_parts
from soak.models import SoakContext

_NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


class Callers:
    """Sends requests with unique attempt ids and checks the responses."""

    def __init__(self, context: SoakContext) -> None:
        self._context = context
        self._next_id = 0

    async def async_send_requests(self) -> None:
        """Send requests in a loop, never retrying one."""
        while True:
            await asyncio.sleep(self._context.rng.uniform(0.0, 0.1))
            self._next_id += 1
            attempt_id = f"a-{self._next_id}"
            kind = self._context.rng.choice(("safe", "unsafe", "stream"))
            process = self._context.rng.choice(self._context.processes.gateways)
            sent_at = asyncio.get_running_loop().time()
            had_recovered = self._context.has_recovered
            if self._context.sends_crashing_part and self._context.rng.random() < CRASHING_SHARE:
                parts = prompt_parts(self._next_id, is_crashing=True)
                await async_send_request(process, "stream", attempt_id, parts)
                continue
            parts = prompt_parts(self._next_id, is_crashing=False)
            answer = await async_send_request(process, kind, attempt_id, parts)
            self._context.outcome.sent += 1
            if kind == "stream" and (had_recovered or self._context.sends_crashing_part):
                is_served = answer is not None and answer.code == 200
                self._context.requests.crashing_part.is_served_by_time[sent_at] = is_served
            if answer is not None:
                self._check_response(kind, attempt_id, answer)
            elif had_recovered and self._context.has_recovered:
                self._record_unanswered(attempt_id, sent_at)

    def _record_unanswered(self, attempt_id: str, sent_at: float) -> None:
        """Record a request whose connection was closed though no process or link had a fault."""
        elapsed_s = asyncio.get_running_loop().time() - sent_at
        if elapsed_s < ANSWER_TIMEOUT_S:
            text = f"{attempt_id}: no complete answer, connection closed after {elapsed_s:.2f} s"
            self._context.outcome.violations.append(text)

    def _check_response(self, kind: str, attempt_id: str, answer: HTTPResponse) -> None:
        """Check the response to one request."""
        violations = self._context.outcome.violations
        wrong = self._context.requests.answers.find_violation(
            attempt_id, answer.code, answer.headers.get(HEADER_SIGNATURE)
        )
        if wrong is not None:
            violations.append(wrong)
        if answer.code == 200:
            self._context.outcome.served += 1
            self._context.outcome.served_after_recovery += self._context.has_recovered
            if HEADER_SIGNATURE not in answer.headers:
                violations.append(f"{attempt_id}: success response without a signature")
            if answer.body != _expected_body(kind, attempt_id):
                violations.append(
                    f"{attempt_id}: incomplete or wrong body, ends in {answer.body[-80:]!r}"
                )
        was_run = self._context.requests.runs_by_id[attempt_id] > 0
        if answer.code in _NOT_EXECUTED_STATUSES and was_run:
            violations.append(f"{attempt_id}: response says not executed, but an endpoint ran it")

    def check_runs(self) -> None:
        """Check that endpoints ran no request too often and got none after their drain."""
        for attempt_id, runs in self._context.requests.runs_by_id.items():
            if runs > 2:
                self._context.outcome.violations.append(
                    f"{attempt_id}: executed {runs} times, at most 2 allowed"
                )
        for endpoint_id, attempt_id, reached_at in self._context.requests.reached:
            drained_at = self._context.drained_at_by_id.get(endpoint_id)
            if drained_at is not None and reached_at > drained_at + MAX_ROUTING_DELAY_AFTER_DRAIN_S:
                late_s = reached_at - drained_at
                text = f"{attempt_id}: routed to {endpoint_id} {late_s:.1f} s after its drain"
                self._context.outcome.violations.append(text)


def _expected_body(kind: str, attempt_id: str) -> bytes:
    """Return the complete response body expected for a request."""
    if kind != "stream":
        return f"done {attempt_id}".encode()
    events = (f"id: {number}\ndata: {attempt_id}\n\n" for number in range(1, EVENTS + 1))
    return "".join(events).encode()
