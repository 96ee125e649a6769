"""Entries and answers from other writers: none of them names an endpoint, and the others hold."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from platform_deployment import Deployment
from tornado.httpclient import HTTPResponse

from lagoonwing_core.ids import EndpointId
from lagoonwing_fakes.platform import heartbeat_path, make_document
from lagoonwing_fakes.platform._endpoint import _ReportHandler
from lagoonwing_fakes.platform.const import ADDRESS

DEEP = b"[" * 100_000 + b"]" * 100_000
HUGE = b"9" * 400
ENTRY = {
    "service": "plain",
    "address": f"{ADDRESS}:9",
    "zone": "d-1",
    "slots": 4,
    "state": "ready",
    "sequence": 1,
}


def _entry(**changes: Any) -> bytes:
    """Return the bytes of an entry."""
    return json.dumps({**ENTRY, **changes}).encode()


def _with_field(name: str, value: bytes) -> bytes:
    """Return an entry with the raw bytes of one field."""
    body = {field: value for field, value in ENTRY.items() if field != name}
    return json.dumps(body).encode()[:-1] + b', "%s": %s}' % (name.encode(), value)


ODD_ENTRIES = {
    "deep": _with_field("more", DEEP),
    "deep_layers": _with_field("layers", b'{"from": 0, "to": 1, "more": ' + DEEP + b"}"),
    "unclosed": b"[" * 100_000,
    "huge_slots": _with_field("slots", HUGE),
    "huge_sequence": _with_field("sequence", HUGE),
    "huge_born": _with_field("born", HUGE),
    "above_64_bits": _with_field("born", b"18446744073709551616"),
    "infinite": _with_field("slots", b"1e999"),
    "no_slots": _entry(slots=0),
    "negative_slots": _entry(slots=-3),
    "negative_sequence": _entry(sequence=-1),
    "huge_layers": _with_field("layers", b'{"from": 0, "to": ' + HUGE + b"}"),
    "negative_layers": _entry(layers={"from": -4, "to": 4}),
    "many_layers": _entry(layers={"from": 0, "to": 10**9}),
    "port_above": _entry(address=f"{ADDRESS}:65536"),
    "port_zero": _entry(address=f"{ADDRESS}:0"),
    "port_negative": _entry(address=f"{ADDRESS}:-1"),
    "port_huge": _entry(address=f"{ADDRESS}:{'9' * 400}"),
    "port_spaced": _entry(address=f"{ADDRESS}: 80"),
    "port_digits": _entry(address=f"{ADDRESS}:\u0663"),
    "address_scope": _entry(address="fe80::1%eth0:80"),
    "address_any": _entry(address="0.0.0.0:80"),
    "name_long": _entry(service="s" * 100_000),
    "zone_empty": _entry(zone=""),
    "bytes": b"\xff\xfe\x00",
    "empty": b"",
}


async def _async_announce(deployment: Deployment, endpoint_id: str, body: bytes) -> HTTPResponse:
    """Send an entry."""
    path = heartbeat_path(endpoint_id)
    return await deployment.async_call(deployment.control_port, path, "POST", body)


async def _async_expect_service(deployment: Deployment, count: int = 12) -> None:
    """Expect that all calls are served."""
    ids = [f"a-{number}" for number in range(count)]
    answers = await asyncio.gather(*(deployment.async_send_request("safe", item) for item in ids))
    assert [answer.code for answer in answers] == [200] * count


# Guards against an entry that ends the processes that read it, or the requests that it attracts.
@pytest.mark.parametrize("name", ODD_ENTRIES)
async def test_odd_entry_is_refused_and_names_no_endpoint(
    deployment: Deployment, name: str
) -> None:
    """The entry is refused at once; the sound endpoints keep all requests."""
    await deployment.async_set_document()
    await deployment.async_add_endpoint("p-1", "plain")
    response = await _async_announce(deployment, "odd", ODD_ENTRIES[name])
    assert response.code == 400
    await _async_expect_service(deployment)
    assert EndpointId("odd") not in deployment.gateway.follower.endpoint_by_id
    assert (await deployment.async_send_heartbeat(deployment.endpoints[0])).code == 200


async def test_entry_with_a_long_id_is_refused(deployment: Deployment) -> None:
    """Ids are kept in many places, so their length is bounded."""
    response = await _async_announce(deployment, "i" * 1_000, _entry())
    assert response.code == 400


# Guards against an entry of an unknown service that takes the place of a sound endpoint.
@pytest.mark.parametrize("takes", ["id", "address"])
async def test_entry_of_an_unknown_service_displaces_no_endpoint(
    deployment: Deployment, takes: str
) -> None:
    """Neither the id nor the address of an endpoint passes to a service that is not known."""
    await deployment.async_set_document()
    endpoint = await deployment.async_add_endpoint("p-1", "plain")
    changes: dict[str, Any] = {"service": "nobody", "sequence": 1_000, "born": 99}
    if takes == "address":
        changes["address"] = f"{ADDRESS}:{endpoint.port}"
    await _async_announce(deployment, "p-1" if takes == "id" else "other", _entry(**changes))
    await _async_expect_service(deployment)
    assert (await deployment.async_send_heartbeat(endpoint)).code == 200
    await _async_expect_service(deployment)


async def test_entry_before_its_service_is_known_holds(deployment: Deployment) -> None:
    """An endpoint may announce itself before the configuration names its service."""
    endpoint = await deployment.async_add_endpoint("p-1", "plain")
    await deployment.async_set_document()
    await _async_expect_service(deployment)
    assert endpoint.executed_ids


# Guards against documents that end the call of the operator without a clear answer.
@pytest.mark.parametrize(
    "field", [b'"more": ' + DEEP, b'"version": ' + HUGE, b'"routes": ' + DEEP, b'"limits": 1e999']
)
async def test_odd_document_is_invalid(deployment: Deployment, field: bytes) -> None:
    """A document that can't be read is refused for good, and the one in force stays."""
    await deployment.async_set_document()
    name = json.loads(b"[" + field.split(b":")[0] + b"]")[0]
    document = {key: value for key, value in json.loads(make_document(2)).items() if key != name}
    body = json.dumps(document).encode()[:-1] + b", " + field + b"}"
    assert (await deployment.async_put_document(body)).code == 400
    read = await deployment.async_call(deployment.control_port, "/lagoonwing/config/get")
    assert json.loads(read.body)["version"] == 1


async def test_odd_priority_is_invalid(deployment: Deployment) -> None:
    """A number that no reader can hold is refused, wherever it stands."""
    document = json.loads(make_document())
    document["routes"][0]["priority"] = 10**30
    assert (await deployment.async_put_document(json.dumps(document).encode())).code == 400


# Guards against reports of one engine that stop the placement of all others.
@pytest.mark.parametrize("report", [b'{"x": ' + DEEP + b"}", b'{"sequence": ' + HUGE + b"}"])
async def test_odd_report_of_an_engine_does_not_stop_the_placement(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch, report: bytes
) -> None:
    """The other engines get their layers."""
    get = _ReportHandler.get

    def answer(handler: _ReportHandler) -> None:
        if handler.endpoint.endpoint_id == "odd":
            handler.finish(report)
        else:
            get(handler)

    monkeypatch.setattr(_ReportHandler, "get", answer)
    await deployment.async_set_document()
    await deployment.async_add_endpoint("odd", "engines", "small")
    sound = [
        await deployment.async_add_endpoint(f"e-{number}", "engines", "small")
        for number in range(8)
    ]
    await deployment.async_wait_until(lambda: all(engine.layers is not None for engine in sound))
