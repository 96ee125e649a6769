"""An operator's configuration names one host twice, in other letters."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from case_runner import Case, run_case
from deployment import ZONES
from standins import (
    HOST,
    Answer,
    Server,
    async_call,
    client_headers,
    make_configuration,
)

_OTHER_SERVICE = "taller"
_SAME_HOST = HOST.capitalize()
_OTHER_HOST = f"{_OTHER_SERVICE}.example"
_CONFIG_APPLY_S = 2.0
_REQUESTS = 20


def _make_second_configuration(host: str) -> bytes:
    """Return a configuration with a second route of the same prefix to another service."""
    document = json.loads(make_configuration(2))
    service = {**document["services"][0], "name": _OTHER_SERVICE}
    document["services"].append(service)
    route = {**document["routes"][0], "name": "r-2", "host": host, "service": _OTHER_SERVICE}
    document["routes"].append(route)
    return json.dumps(document).encode()


async def _async_put(case: Case, body: bytes) -> Answer:
    """Send a configuration to one node."""
    node = case.deployment.control_addresses[0]
    headers = {"Host": f"{node[0]}:{node[1]}", "Content-Type": "application/json"}
    return await async_call(node, "POST", b"/lagoonwing/config/put", headers, body)


async def _async_case(case: Case) -> bool:
    """Play a change; return whether an invalid one is refused and all requests run rightly."""
    deployment, record = case.deployment, case.record
    await case.async_start(make_configuration(1))
    nodes = deployment.control_addresses
    right = Server("i-0", deployment.server_address(0), ZONES[0], nodes)
    wrong = Server("i-1", deployment.server_address(1), ZONES[0], nodes, service=_OTHER_SERVICE)
    for server in (right, wrong):
        await server.async_start()
    await case.async_wait_until_served(b"/stock/1")
    # With TROUBLE=0 the second route has another host, and the configuration is valid.
    host = _SAME_HOST if case.has_trouble else _OTHER_HOST
    answer = await _async_put(case, _make_second_configuration(host))
    record.write(
        f"operator: routes of {HOST} and {host} with the same prefix are answered {answer.status}"
    )
    await asyncio.sleep(_CONFIG_APPLY_S + 2.0)
    for number in range(_REQUESTS):
        attempt_id = f"issue-{number}"
        headers = client_headers(attempt_id)
        got = await async_call(case.gateway, "POST", b"/issue/1", headers, b"canvas")
        record.write(f"client: {attempt_id} to {HOST} is answered {got.status}: {got.body!r}")
    misled = [arrival.attempt_id for arrival in wrong.arrivals]
    for server in (right, wrong):
        await server.async_end()
    record.write(f"{len(misled)} of {_REQUESTS} unsafe requests ran at the other service")
    is_invalid_accepted = case.has_trouble and answer.status == 200
    return not is_invalid_accepted and not misled


if __name__ == "__main__":
    run_case(_async_case, Path(__file__).with_name("record.txt"))
