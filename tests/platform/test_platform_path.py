"""End-to-end tests of the platform's protocol: operators, endpoints and callers."""

from __future__ import annotations

import asyncio
import json
from unittest.mock import MagicMock

import pytest
from platform_deployment import Deployment, async_start_engines
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, RequestStartLine

from lagoonwing_catalog.models import EndpointState
from lagoonwing_core.ids import EndpointId
from lagoonwing_fakes.platform import make_document
from lagoonwing_fakes.platform.const import EVENTS


async def _async_start_plain_service(deployment: Deployment) -> None:
    """Upload a document and start two plain endpoints."""
    await deployment.async_set_document()
    await deployment.async_add_endpoint("p-1", "plain")
    await deployment.async_add_endpoint("p-2", "plain")


async def test_requests_are_rejected_without_a_document(deployment: Deployment) -> None:
    """A gateway without configuration is not ready and asks callers to retry later."""
    assert (await deployment.async_call(deployment.ready_port, "/lagoonwing/readyz")).code == 503
    response = await deployment.async_send_request("safe", "a-1")
    assert response.code == 503
    assert float(response.headers["Retry-After"]) > 0


async def test_request_at_startup_waits_for_first_document(deployment: Deployment) -> None:
    """A gateway that has just started queues requests that can still meet their deadline."""
    await deployment.async_add_endpoint("p-1", "plain")
    pending_response = asyncio.ensure_future(deployment.async_send_request("safe", "a-1"))
    await deployment.async_wait_until(lambda: deployment.gateway.active_requests == 1)
    await deployment.async_set_document()
    assert (await pending_response).code == 200


async def test_request_is_forwarded_unchanged(deployment: Deployment) -> None:
    """Method, path, body and id reach the endpoint; its response is returned unchanged."""
    await _async_start_plain_service(deployment)
    assert (await deployment.async_call(deployment.ready_port, "/lagoonwing/readyz")).code == 200
    response = await deployment.async_send_request(
        "unsafe", "a-1", X_Lagoonwing_Tenant="forged", X_Own="kept"
    )
    assert (response.code, response.body) == (200, b"body of a-1 question")
    assert response.headers["X-Lagoonwing-Response-Stamp"].startswith("stamp-p-")
    (endpoint,) = [endpoint for endpoint in deployment.endpoints if endpoint.executed_ids]
    headers = endpoint.headers_by_attempt_id["a-1"]
    assert headers["X-Lagoonwing-Tenant"] == "m-1"
    assert headers["X-Lagoonwing-Expect-Instance"] == endpoint.endpoint_id
    assert headers["X-Own"] == "kept"
    assert int(headers["X-Lagoonwing-Deadline-Ms"]) <= 3000
    assert "Authorization" not in headers


async def test_unknown_key_and_route_are_rejected(deployment: Deployment) -> None:
    """Requests with an unknown key or route do not reach an endpoint."""
    await _async_start_plain_service(deployment)
    assert (
        await deployment.async_send_request("safe", "a-1", Authorization="Bearer no")
    ).code == 401
    assert (await deployment.async_send_request("other", "a-2")).code == 404
    assert not any(endpoint.headers_by_attempt_id for endpoint in deployment.endpoints)


async def test_idempotent_request_is_retried_on_another_endpoint(deployment: Deployment) -> None:
    """The failure of one endpoint is hidden from the caller if another endpoint succeeds."""
    await _async_start_plain_service(deployment)

    async def fail(handler: object) -> None:
        handler.endpoint.executed_ids.append(handler.attempt_id)  # type: ignore[attr-defined]
        handler.set_status(500)  # type: ignore[attr-defined]
        handler.finish()  # type: ignore[attr-defined]

    deployment.endpoints[0].handler_override = fail
    for number in range(6):
        assert (await deployment.async_send_request("safe", f"a-{number}")).code == 200


async def test_non_idempotent_request_is_not_retried(deployment: Deployment) -> None:
    """If the response is lost, the outcome is reported as unknown and nothing is resent."""
    await _async_start_plain_service(deployment)

    async def drop_connection(handler: object) -> None:
        handler.endpoint.executed_ids.append(handler.attempt_id)  # type: ignore[attr-defined]
        handler.request.connection.stream.close()  # type: ignore[attr-defined]
        handler._finished = True  # type: ignore[attr-defined]

    for endpoint in deployment.endpoints:
        endpoint.handler_override = drop_connection
    response = await deployment.async_send_request("unsafe", "a-1")
    assert response.code == 502
    assert sum(endpoint.executed_ids.count("a-1") for endpoint in deployment.endpoints) == 1


async def test_not_executed_response_is_reported_as_not_run(deployment: Deployment) -> None:
    """If all endpoints state that they did not execute the request, the caller may retry."""
    await _async_start_plain_service(deployment)

    async def reject_unexecuted(handler: object) -> None:
        handler.set_status(503)  # type: ignore[attr-defined]
        handler.set_header("X-Lagoonwing-Not-Executed", "1")  # type: ignore[attr-defined]
        handler.finish()  # type: ignore[attr-defined]

    for endpoint in deployment.endpoints:
        endpoint.handler_override = reject_unexecuted
    response = await deployment.async_send_request("unsafe", "a-1")
    assert response.code == 503
    assert float(response.headers["Retry-After"]) > 0
    assert not any(endpoint.executed_ids for endpoint in deployment.endpoints)


async def test_unsigned_response_is_not_a_success(deployment: Deployment) -> None:
    """A response without the endpoint's signature is never returned as a success."""
    await _async_start_plain_service(deployment)

    async def respond_unsigned(handler: object) -> None:
        handler.finish(b"not mine")  # type: ignore[attr-defined]

    for endpoint in deployment.endpoints:
        endpoint.handler_override = respond_unsigned
    assert (await deployment.async_send_request("unsafe", "a-1")).code == 502


async def test_stream_path_covers_each_layer_once(deployment: Deployment) -> None:
    """The leader places the layers; the path covers each layer once and in order."""
    await async_start_engines(deployment)
    response = await deployment.async_send_request("stream", "a-1")
    assert response.code == 200
    assert response.body.count(b"id: ") == EVENTS
    (first,) = [endpoint for endpoint in deployment.endpoints if endpoint.executed_ids]
    path = first.headers_by_attempt_id["a-1"]["X-Lagoonwing-Hop-Count"]
    position = 0
    for part in path.split(","):
        layers = part.split("=")[1].split("-")
        assert int(layers[0]) == position
        position = int(layers[1])
    assert position == 8
    assert path.startswith(f"127.0.0.1:{first.port}=0-")


async def test_broken_stream_is_resumed_on_another_path(deployment: Deployment) -> None:
    """Another path continues after the last event; the headers of the first endpoint are kept."""
    await async_start_engines(deployment)
    broken: list[str] = []

    async def break_stream(handler: object) -> None:
        if broken:
            return
        broken.append(handler.endpoint.endpoint_id)  # type: ignore[attr-defined]
        handler.endpoint.executed_ids.append(handler.attempt_id)  # type: ignore[attr-defined]
        handler.set_header("X-Lagoonwing-Response-Stamp", "stamp-first")  # type: ignore[attr-defined]
        await handler.send_events(3)  # type: ignore[attr-defined]
        # Tornado's client discards data that is not yet delivered when the connection closes.
        await asyncio.sleep(0.05)
        handler.write(b"id: 4\nda")  # type: ignore[attr-defined]
        await handler.flush()  # type: ignore[attr-defined]
        handler.request.connection.stream.close()  # type: ignore[attr-defined]
        handler._finished = True  # type: ignore[attr-defined]

    for endpoint in deployment.endpoints:
        endpoint.handler_override = break_stream
    response = await deployment.async_send_request("stream", "a-1")
    assert response.code == 200
    assert response.headers["X-Lagoonwing-Response-Stamp"] == "stamp-first"
    expected = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
    assert response.body == expected


async def test_request_that_crashes_endpoints_is_quarantined(deployment: Deployment) -> None:
    """After the third crash it is not sent to other endpoints; other requests are served."""
    await _async_start_plain_service(deployment)
    for number in range(3, 7):
        await deployment.async_add_endpoint(f"p-{number}", "plain")

    async def crash(handler: object) -> None:
        if handler.request.body != b"deadly":  # type: ignore[attr-defined]
            return
        handler.endpoint.executed_ids.append(handler.attempt_id)  # type: ignore[attr-defined]
        handler.endpoint.server.stop()  # type: ignore[attr-defined]
        handler.request.connection.stream.close()  # type: ignore[attr-defined]
        handler._finished = True  # type: ignore[attr-defined]

    for endpoint in deployment.endpoints:
        endpoint.handler_override = crash
    codes = []
    for number in range(6):
        response = await deployment.async_call(
            deployment.caller_port,
            "/unsafe/x",
            "POST",
            b"deadly",
            Host="h.example",
            Authorization="Bearer key-1",
            X_Lagoonwing_Attempt_Id=f"a-{number}",
        )
        codes.append(response.code)
    assert codes == [502, 502, 502, 503, 503, 503]
    assert sum(len(endpoint.executed_ids) for endpoint in deployment.endpoints) == 3
    assert (await deployment.async_send_request("unsafe", "a-9")).code == 200


async def test_caller_disconnect_cancels_the_request(deployment: Deployment) -> None:
    """The connection to the endpoint is closed soon after the caller disconnects."""
    await _async_start_plain_service(deployment)

    async def wait(handler: object) -> None:
        await handler.endpoint.caller_disconnected.wait()  # type: ignore[attr-defined]
        handler._finished = True  # type: ignore[attr-defined]

    for endpoint in deployment.endpoints:
        endpoint.handler_override = wait
    _, writer = await asyncio.open_connection("127.0.0.1", deployment.caller_port)
    writer.write(
        b"GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
        b"X-Lagoonwing-Attempt-Id: a-1\r\n\r\n"
    )
    await deployment.async_wait_until(
        lambda: any(endpoint.headers_by_attempt_id for endpoint in deployment.endpoints)
    )
    writer.close()
    await deployment.async_wait_until(
        lambda: any(endpoint.caller_disconnected.is_set() for endpoint in deployment.endpoints)
    )


@pytest.mark.parametrize(
    "body",
    [
        make_document()[:-40],
        make_document(routes=[{"name": "r"}]),
        make_document(services=[]),
        make_document(version="one"),  # type: ignore[arg-type]
    ],
)
async def test_invalid_documents_are_rejected(deployment: Deployment, body: bytes) -> None:
    """Invalid documents are rejected with a 4xx status and a reason, and are never applied."""
    response = await deployment.async_put_document(body)
    assert 400 <= response.code < 500
    assert json.loads(response.body)["detail"]
    read = await deployment.async_call(deployment.control_port, "/lagoonwing/config/get")
    assert read.code == 404


async def test_latest_document_is_returned_unchanged(deployment: Deployment) -> None:
    """The document is returned byte for byte; uploading an older version has no effect."""
    await deployment.async_set_document(7)
    assert (await deployment.async_put_document(make_document(3))).code == 200
    read = await deployment.async_call(deployment.control_port, "/lagoonwing/config/get")
    assert (read.code, read.body) == (200, make_document(7))


async def test_removed_key_is_rejected(deployment: Deployment) -> None:
    """A key that is not in the latest document is unknown."""
    await _async_start_plain_service(deployment)
    await deployment.async_set_document(2, tenants=[{"name": "m-1", "api-keys": ["key-2"]}])
    assert (await deployment.async_send_request("safe", "a-1")).code == 401
    assert (
        await deployment.async_send_request("safe", "a-2", Authorization="Bearer key-2")
    ).code == 200


async def test_draining_endpoint_gets_no_new_requests(deployment: Deployment) -> None:
    """Requests go to other endpoints once draining is acknowledged, or after a leave."""
    await _async_start_plain_service(deployment)
    first, second = deployment.endpoints
    assert (await deployment.async_send_heartbeat(first, state="draining")).code == 200
    records = deployment.gateway.follower.endpoint_by_id
    first_id = EndpointId(first.endpoint_id)
    await deployment.async_wait_until(lambda: records[first_id].state is EndpointState.DRAINING)
    for number in range(5):
        assert (await deployment.async_send_request("safe", f"a-{number}")).code == 200
    assert not first.executed_ids
    path = f"/lagoonwing/instances/{second.endpoint_id}/leave"
    assert (await deployment.async_call(deployment.control_port, path, "POST", b"")).code == 200
    second_id = EndpointId(second.endpoint_id)
    await deployment.async_wait_until(lambda: records[second_id].state is EndpointState.LEFT)
    assert (await deployment.async_send_request("safe", "a-9")).code == 503


@pytest.mark.parametrize(
    "changes",
    [{"sequence": "x"}, {"address": "nowhere"}, {"state": "asleep"}, {"born": 1.5}, {"zone": None}],
)
async def test_invalid_announcement_is_rejected(
    deployment: Deployment, changes: dict[str, object]
) -> None:
    """An invalid announcement adds no endpoint and does not affect the others."""
    await _async_start_plain_service(deployment)
    invalid_endpoint = await deployment.async_add_endpoint("p-3", "plain")
    invalid_endpoint.endpoint_id = "p-4"
    assert (await deployment.async_send_heartbeat(invalid_endpoint, **changes)).code == 400
    assert "p-4" not in deployment.gateway.follower.endpoint_by_id
    assert len(deployment.gateway.follower.endpoint_by_id) == 3


@pytest.mark.parametrize("is_closed", [False, True])
async def test_request_read_from_closed_connection_is_not_forwarded(
    deployment: Deployment, is_closed: bool
) -> None:
    """A request whose connection was closed while it was read does not reach an endpoint."""
    await _async_start_plain_service(deployment)
    connection = MagicMock(spec=HTTP1Connection)
    connection.stream = MagicMock()
    connection.stream.closed.return_value = is_closed
    delegate = deployment.front._callers.request_callback
    message = delegate.start_request(None, connection)
    headers = HTTPHeaders(
        {
            "Host": "h.example",
            "Authorization": "Bearer key-1",
            "X-Lagoonwing-Attempt-Id": "a-1",
        }
    )
    message.headers_received(RequestStartLine("GET", "/safe/x", "HTTP/1.1"), headers)
    message.finish()
    await asyncio.sleep(0.2)
    reached = [
        endpoint for endpoint in deployment.endpoints if "a-1" in endpoint.headers_by_attempt_id
    ]
    assert bool(reached) is not is_closed


async def test_draining_fails_readiness_and_completes_running_requests(
    deployment: Deployment,
) -> None:
    """A request that is running when draining starts completes; its connection is then closed."""
    await _async_start_plain_service(deployment)

    async def slow(handler: object) -> None:
        await asyncio.sleep(0.5)

    for endpoint in deployment.endpoints:
        endpoint.handler_override = slow
    running = asyncio.ensure_future(deployment.async_send_request("unsafe", "a-1"))
    await deployment.async_wait_until(
        lambda: any(endpoint.headers_by_attempt_id for endpoint in deployment.endpoints)
    )
    drained = asyncio.ensure_future(deployment.gateway.async_drain())
    await asyncio.sleep(0)
    assert (await deployment.async_call(deployment.ready_port, "/lagoonwing/readyz")).code == 503
    response = await running
    assert (response.code, response.headers["Connection"]) == (200, "close")
    await drained
