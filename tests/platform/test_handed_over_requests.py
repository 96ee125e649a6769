"""A request that another gateway hands over keeps to its attempts and to the retry budget once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from platform_deployment import Deployment
from tornado.httputil import HTTPHeaders

from lagoonwing_core.ids import AttemptId, HostId, ServiceId
from lagoonwing_fakes.platform import WorkHandler
from lagoonwing_fakes.platform.const import CALLER_KEY, HOST_NAME
from lagoonwing_gateway.models import CallerRequest, GatewayRefusal, HandedOver
from lagoonwing_platform.const import HEADER_ATTEMPT_ID

SERVICE = ServiceId("plain")


class _Responder:
    """Keeps what a caller would get."""

    is_disconnected = False

    def __init__(self) -> None:
        self.status: int | None = None
        self.refusal: GatewayRefusal | None = None

    def set_on_disconnect(self, on_disconnect: Callable[[], object]) -> None:
        """Ignore that the caller might leave."""

    def send_response(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Keep the status of a response."""
        self.status = status

    def refuse(self, request: CallerRequest, refusal: GatewayRefusal) -> None:
        """Keep a refusal."""
        self.refusal = refusal

    async def async_wait_written(self) -> None:
        """Nothing is written."""


def _request(attempt_id: str, send_count: int) -> CallerRequest:
    """Return a safe request that another gateway has sent so many times."""
    return CallerRequest(
        attempt_id=AttemptId(attempt_id),
        method="GET",
        host=HOST_NAME,
        path="/safe/x",
        target="/safe/x",
        headers=HTTPHeaders({"Host": HOST_NAME, HEADER_ATTEMPT_ID: attempt_id}),
        body=b"",
        key=CALLER_KEY,
        budget_s=3.0,
        size=None,
        last_event_id=None,
        received_at=asyncio.get_running_loop().time(),
        handed_over=HandedOver(HostId("other"), send_count, send_count > 0, 0.0),
    )


async def _async_fail(handler: WorkHandler) -> None:
    """Fail a request after it has run."""
    handler.set_status(500)
    handler.finish()


@pytest.mark.parametrize(("send_count", "arrivals"), [(0, 2), (1, 1)])
async def test_attempts_hold_once_over_both_gateways(
    deployment: Deployment, send_count: int, arrivals: int
) -> None:
    """The route allows two attempts, wherever they are made."""
    await deployment.async_set_document()
    for number in range(3):
        endpoint = await deployment.async_add_endpoint(f"p-{number}", SERVICE)
        endpoint.handler_override = _async_fail
    responder = _Responder()
    await deployment.gateway.async_serve(_request("h-1", send_count), responder)  # type: ignore[arg-type]
    assert responder.refusal is None, responder.refusal
    assert sum(len(endpoint.arrived_at) for endpoint in deployment.endpoints) == arrivals
    budget = deployment.gateway._call_handler._budget
    assert len(budget._resends_by_service[SERVICE]) == 1
    assert len(budget._first_sends_by_service[SERVICE]) == (1 if send_count == 0 else 0)


async def test_handed_over_request_is_not_handed_over_again(deployment: Deployment) -> None:
    """A gateway that reaches no endpoint either refuses it, and asks nobody."""
    await deployment.async_set_document()
    await deployment.async_add_endpoint("p-0", SERVICE)
    gateway = deployment.gateway
    gateway._reach._begin_cut(SERVICE, 1, 0.0)
    request = _request("h-2", 0)
    context = gateway._resolver.resolve(request)
    assert not isinstance(context, GatewayRefusal)
    assert not gateway._handover.is_due(context, SERVICE)
    version = gateway.follower.routes.version if gateway.follower.routes else 0
    assert gateway.reason_to_decline(request, version) is not None


async def test_request_of_a_gateway_with_a_newer_document_is_declined(
    deployment: Deployment,
) -> None:
    """It could be handled as only the older document allows."""
    await deployment.async_set_document(version=3)
    await deployment.async_add_endpoint("p-0", SERVICE)
    request = _request("h-3", 0)
    assert deployment.gateway.reason_to_decline(request, 4) is not None
    assert deployment.gateway.reason_to_decline(request, 3) is None
    assert deployment.gateway.reason_to_decline(request, 2) is None
