"""Operators' routes that no request can tell apart, and callers that spell a host otherwise."""

from __future__ import annotations

import json
from typing import Any

import pytest
from platform_deployment import Deployment

import lagoonwing_gateway._follower as follower_module
import lagoonwing_registry._service as service_module
from lagoonwing_catalog import make_stored_document
from lagoonwing_catalog.messages import PutDocument
from lagoonwing_core.events import EventCode
from lagoonwing_fakes.platform import make_document
from lagoonwing_platform.documents import decode_document

_HOST = json.loads(make_document())["routes"][0]["host"]


def _make_clash(version: int, host: str) -> bytes:
    """Return a document whose first route stands again, with another host and service."""
    document = json.loads(make_document(version))
    document["services"].append({"name": "other", "health-path": "/healthz"})
    route = {**document["routes"][1], "name": "again", "host": host, "service": "other"}
    document["routes"].append(route)
    return json.dumps(document).encode()


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> list[tuple[EventCode, dict[str, Any]]]:
    """Return the events that the registry and the follower of a gateway log from now on."""
    logged: list[tuple[EventCode, dict[str, Any]]] = []
    for module in (service_module, follower_module):
        monkeypatch.setattr(
            module, "log_event", lambda code, /, **fields: logged.append((code, fields))
        )
    return logged


# Guards against unsafe requests of one route that run at the service of another one, since a
# document with two routes for the same requests was acknowledged.
@pytest.mark.parametrize("host", [_HOST.upper(), f"{_HOST}:80", f" {_HOST}"])
async def test_clashing_routes_are_refused(
    deployment: Deployment, host: str, events: list[tuple[EventCode, dict[str, Any]]]
) -> None:
    """The refusal and a log line name both routes as written; what was in force stays."""
    await deployment.async_set_document()
    right = await deployment.async_add_endpoint("e-1", "plain")
    wrong = await deployment.async_add_endpoint("e-2", "other")
    response = await deployment.async_put_document(_make_clash(2, host))
    assert response.code == 400
    reason = json.loads(response.body)["detail"]
    assert all(text in reason for text in ("again", "unsafe", repr(host), repr(_HOST)))
    assert (EventCode.DOCUMENT_REFUSED, {"version": 2, "reason": reason}) in events
    for number in range(5):
        assert (await deployment.async_send_request("unsafe", f"a-{number}")).code == 200
    assert len(right.executed_ids) == 5
    assert wrong.executed_ids == []
    read = await deployment.async_call(deployment.control_port, "/lagoonwing/config/get")
    assert json.loads(read.body)["version"] == 1


@pytest.mark.parametrize("host", [_HOST.upper(), f"{_HOST}:80", f"{_HOST}.", f"{_HOST}.:8080"])
async def test_host_is_found_however_callers_spell_it(deployment: Deployment, host: str) -> None:
    """A caller is not answered 404 because of the letters, the port or the last dot of a host."""
    await deployment.async_set_document()
    await deployment.async_add_endpoint("e-1", "plain")
    assert (await deployment.async_send_request("safe", "a-1", Host=host)).code == 200


async def test_gateway_logs_which_route_of_an_older_build_gets_the_requests(
    deployment: Deployment, events: list[tuple[EventCode, dict[str, Any]]]
) -> None:
    """A clash that an older build accepted is served as there, and one line says how."""
    source = _make_clash(1, _HOST.upper())
    stored = make_stored_document(decode_document(source).ok, source)
    assert (await deployment.registry._proposer.async_submit(PutDocument(stored))).is_ok()
    follower = deployment.gateway.follower
    await deployment.async_wait_until(lambda: follower.routes is not None)
    other = await deployment.async_add_endpoint("e-2", "other")
    assert (await deployment.async_send_request("unsafe", "a-1")).code == 200
    assert other.executed_ids == ["a-1"]
    (fields,) = [fields for code, fields in events if code is EventCode.ROUTE_SHADOWED]
    assert (fields["route"], fields["by"], fields["by_host"]) == ("unsafe", "again", _HOST.upper())
