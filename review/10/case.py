"""A server that can't reach control leaves, and says so in its answers."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter

from case_runner import Case, CaseError, run_case
from deployment import ZONES
from standins import Answer, Arrival, Server, async_call, client_headers, make_configuration

DRAIN_S = 2.0
# The server goes on for `drain-ms` and a little longer.
_EXIT_AFTER_S = 3.0
_WORK_S = 0.09
_REQUEST_INTERVAL_S = 0.0125
_LEAVING = {"Server-Leaving": "1"}


async def _async_work(arrival: Arrival) -> None:
    """Work on a request."""
    await asyncio.sleep(_WORK_S)


async def _async_case(case: Case) -> bool:
    """Play requests around a leave; return whether the leaving server was spared in time."""
    deployment, record = case.deployment, case.record
    await case.async_start(make_configuration(1))
    servers = [
        Server(
            f"i-{number}",
            deployment.server_address(number),
            ZONES[number],
            deployment.control_addresses,
        )
        for number in range(2)
    ]
    for server in servers:
        server.behavior = _async_work
        await server.async_start()
    await case.async_wait_until_served(b"/stock/1")
    await asyncio.sleep(2.0)
    leaving = servers[0]
    sent_at_by_id: dict[str, float] = {}
    answers: dict[str, Answer] = {}
    passed_on_at: list[float] = []

    async def async_request(attempt_id: str) -> None:
        sent_at_by_id[attempt_id] = time.monotonic()
        headers = client_headers(attempt_id)
        answer = await async_call(case.gateway, "POST", b"/issue/1", headers, b"canvas")
        answers[attempt_id] = answer
        if "server-leaving" in answer.headers:
            passed_on_at.append(time.monotonic())

    async def async_leave() -> None:
        await asyncio.sleep(1.0)
        if case.has_trouble:
            record.write("server i-0: is cut off from control, not from the gateways")
            leaving.control_nodes = []
        record.write("server i-0: leaves, and says so in its answers")
        leaving.state = "draining"
        leaving.extra_headers = _LEAVING
        is_acknowledged = await leaving.async_announce()
        record.write(f"server i-0: its heartbeat `draining` is acknowledged: {is_acknowledged}")
        await asyncio.sleep(_EXIT_AFTER_S)
        record.write("server i-0: exits")
        await leaving.async_end()

    leave = asyncio.create_task(async_leave())
    requests: list[asyncio.Task[None]] = []
    for number in itertools.count():
        requests.append(asyncio.create_task(async_request(f"issue-{number}")))
        await asyncio.sleep(_REQUEST_INTERVAL_S)
        if leave.done():
            break
    await asyncio.gather(*requests)
    await servers[1].async_end()
    if not passed_on_at:
        record.write("no answer with `Server-Leaving` was passed on")
        if case.has_trouble:
            raise CaseError("the leaving server ran no request")
        return True
    limit = passed_on_at[0] + DRAIN_S
    late = [
        arrival for arrival in leaving.arrivals if sent_at_by_id.get(arrival.attempt_id, 0) > limit
    ]
    for arrival in late:
        after_s = sent_at_by_id[arrival.attempt_id] - passed_on_at[0]
        record.write(
            f"server i-0: ran {arrival.attempt_id}, sent {after_s:.3f} s after an answer with "
            f"`Server-Leaving` was passed on; the client got {answers[arrival.attempt_id].status}"
        )
    statuses = dict(Counter(answer.status for answer in answers.values()))
    record.write(f"{len(answers)} requests, statuses {statuses}, {len(late)} late arrivals")
    return not late


if __name__ == "__main__":
    run_case(__file__, _async_case)
