"""Cases of second answers, played at a gateway with an endpoint for each."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from enum import Enum

from cutting_endpoints import ARRIVAL_S, Case, Connection, CuttingEndpoint, Moment, case_ids
from platform_deployment import Deployment
from raw_answers import Reply, parse_reply, success

from lagoonwing_fakes.platform import (
    heartbeat_path,
    make_caller_headers,
    make_document,
    make_heartbeat,
)
from lagoonwing_fakes.platform.const import ADDRESS

DUE_DEADLINE_MS = 1_500
SOUND_DEADLINE_MS = 10_000
PARALLEL_CASES = 16
MAX_SHOWN_FAILURES = 5
# On a busy host, a request may come so late that it finds no kept connection, or isn't sent.
MAX_SHARE_NOT_KEPT = 0.1
ENGINE_LAYERS = 8
ENGINE_SIZE_MB = 20.0

_MOMENTS_WITHOUT_REQUEST = (Moment.BEHIND, Moment.IDLE)


class Kind(Enum):
    """Kind of the requests of a case."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    PLAIN_STREAM = "plain_stream"
    ENGINE_STREAM = "engine_stream"

    @property
    def route_kind(self) -> str:
        """Kind of the route in the operator's document."""
        is_stream = self in (Kind.PLAIN_STREAM, Kind.ENGINE_STREAM)
        return "stream" if is_stream else self.value


async def async_send(
    deployment: Deployment,
    path: str,
    attempt_id: str,
    deadline_ms: int = SOUND_DEADLINE_MS,
    kind: Kind = Kind.SAFE,
) -> Reply:
    """Send a request on a new connection; return all that comes back."""
    method = "GET" if kind is Kind.SAFE else "POST"
    fields = make_caller_headers(kind.route_kind, attempt_id, deadline_ms)
    fields |= {"Connection": "close", "Content-Length": "0"}
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    reader, writer = await asyncio.open_connection(ADDRESS, deployment.caller_port)
    try:
        writer.write("\r\n".join([*lines, "", ""]).encode())
        async with asyncio.timeout(SOUND_DEADLINE_MS / 1_000):
            return parse_reply(await reader.read())
    finally:
        writer.close()


@asynccontextmanager
async def async_run_endpoints(
    deployment: Deployment, endpoints: list[CuttingEndpoint], kind: Kind, max_attempts: int = 1
) -> AsyncIterator[None]:
    """Announce endpoints, each of a service and behind a route of its own."""
    document = json.loads(make_document())
    plain, engine = document["services"]
    # Each engine holds all layers.
    engine["engine"]["kinds"][0]["size-mb"] = ENGINE_SIZE_MB
    service = engine if kind is Kind.ENGINE_STREAM else plain
    services, routes = [], []
    for number in range(len(endpoints)):
        name = f"s-{number}"
        services.append({**service, "name": name})
        changes = {"name": f"c-{number}", "path-prefix": f"/c-{number}/", "service": name}
        route = {**document["routes"][0], **changes, "kind": kind.route_kind}
        if kind.route_kind == "stream":
            route |= {"resumable": max_attempts > 1, "gap-target-ms": SOUND_DEADLINE_MS}
        routes.append({**route, "max-attempts": max_attempts, "timeout-ms": SOUND_DEADLINE_MS})
    await deployment.async_set_document(routes=routes, services=services)
    try:
        await _async_announce_all(deployment, endpoints, "raw", kind)
        yield
    finally:
        await asyncio.gather(*(endpoint.async_stop() for endpoint in endpoints))


async def _async_announce_all(
    deployment: Deployment, endpoints: list[CuttingEndpoint], prefix: str, kind: Kind
) -> None:
    """Start endpoints and announce each for a service of its own."""
    places = asyncio.Semaphore(PARALLEL_CASES)

    async def async_announce_one(number: int, endpoint: CuttingEndpoint) -> None:
        async with places:
            await endpoint.async_start()
            endpoint_id, service = f"{prefix}-{number}", f"s-{number}"
            await _async_announce(deployment, endpoint_id, service, endpoint.port, kind)

    await asyncio.gather(
        *(async_announce_one(number, endpoint) for number, endpoint in enumerate(endpoints))
    )


async def _async_announce(
    deployment: Deployment, endpoint_id: str, service: str, port: int, kind: Kind
) -> None:
    """Announce an endpoint and wait until the gateway knows it."""
    is_engine = kind is Kind.ENGINE_STREAM
    layers = (0, ENGINE_LAYERS) if is_engine else None
    body = make_heartbeat(service, port, 1, "small" if is_engine else None, layers)
    path = heartbeat_path(endpoint_id)
    assert (await deployment.async_call(deployment.control_port, path, "POST", body)).code == 200
    known = deployment.gateway.follower.endpoint_by_id
    await deployment.async_wait_until(lambda: endpoint_id in known)


async def async_run_cases(
    deployment: Deployment, cases: list[Case], kind: Kind = Kind.SAFE
) -> list[str]:
    """Play each case at an endpoint of its own; return what broke the rule on mixed answers.

    Each endpoint gets an earlier request, the due one, and a last one.
    """
    endpoints = [CuttingEndpoint(case, case_ids(number)) for number, case in enumerate(cases)]
    places = asyncio.Semaphore(PARALLEL_CASES)
    faults: list[str] = []

    async def async_run_case(number: int, case: Case) -> None:
        async with places:
            path = f"/c-{number}/x"
            earlier_id, due_id = case_ids(number)
            reply = await async_send(deployment, path, earlier_id, kind=kind)
            if not reply.is_answer(success(earlier_id)):
                faults.append(f"{case.label} answer before the bytes: {reply}")
            if case.moment is Moment.IDLE:
                await asyncio.sleep(2 * ARRIVAL_S)
            reply = await async_send(deployment, path, due_id, DUE_DEADLINE_MS, kind)
            if not case.is_kept(reply, due_id):
                faults.append(f"{case.label} due answer: {reply}")
            last_id = f"c-{number:04}"
            reply = await async_send(deployment, path, last_id, kind=kind)
            if not reply.is_answer(success(last_id)):
                faults.append(f"{case.label} next answer: {reply}")

    async with async_run_endpoints(deployment, endpoints, kind):
        await asyncio.gather(*(async_run_case(number, case) for number, case in enumerate(cases)))
    if kind is not Kind.UNSAFE:
        played = [end for end in endpoints if end.case.moment not in _MOMENTS_WITHOUT_REQUEST]
        _check_kept(played)
    return faults


def _check_kept(endpoints: list[CuttingEndpoint]) -> None:
    """Check that nearly all due requests came on kept connections, as the cases mean them to."""
    others = [
        f"{endpoint.case.label}: {endpoint.due_connection.value}"
        for endpoint in endpoints
        if endpoint.due_connection is not Connection.KEPT
    ]
    assert len(others) <= len(endpoints) * MAX_SHARE_NOT_KEPT, f"not on a kept connection: {others}"


async def async_run_pairs(
    deployment: Deployment, pairs: Sequence[tuple[CuttingEndpoint, CuttingEndpoint]], kind: Kind
) -> list[str]:
    """Play each case at two endpoints, one of which gets a second attempt.

    Returns:
        What broke the rule on mixed answers.
    """
    places = asyncio.Semaphore(PARALLEL_CASES)
    faults: list[str] = []

    async def async_run_pair(number: int, case: Case) -> None:
        async with places:
            path, due_id = f"/c-{number}/x", case_ids(number)[1]
            # Together, so that both endpoints get one.
            ids = [f"{name}-{number:04}" for name in ("a", "z")]
            await asyncio.gather(*(async_send(deployment, path, one, kind=kind) for one in ids))
            reply = await async_send(deployment, path, due_id, DUE_DEADLINE_MS, kind)
            if not case.is_kept(reply, due_id) and not reply.is_answer(success(due_id)):
                faults.append(f"{case.label} due answer: {reply}")
            last_id = f"c-{number:04}"
            reply = await async_send(deployment, path, last_id, kind=kind)
            if not reply.is_answer(success(last_id)):
                faults.append(f"{case.label} next answer: {reply}")

    seconds = [second for _, second in pairs]
    async with async_run_endpoints(deployment, [first for first, _ in pairs], kind, 2):
        try:
            await _async_announce_all(deployment, seconds, "more", kind)
            await asyncio.gather(
                *(async_run_pair(number, first.case) for number, (first, _) in enumerate(pairs))
            )
        finally:
            await asyncio.gather(*(endpoint.async_stop() for endpoint in seconds))
    return faults


def describe(faults: list[str], cases: int) -> str:
    """Return the message of a failed assertion: the count and the first faults."""
    shown = "\n".join(sorted(faults)[:MAX_SHOWN_FAILURES])
    return f"{len(faults)} faults in {cases} cases:\n{shown}"
