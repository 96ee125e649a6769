"""Takes requests of other gateways, which reach no endpoint of a service themselves."""

from __future__ import annotations

import asyncio
import hmac

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from lagoonwing_catalog.messages import HandoverAddress
from lagoonwing_core.callback import callback
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import ServiceId
from lagoonwing_gateway._gateway import Gateway
from lagoonwing_gateway._handover_codec import (
    HANDOVER_PATH,
    HEADER_DECLINED,
    HEADER_ID,
    HEADER_REFUSAL,
    HEADER_TOKEN,
    REACH_PATH,
    decode_handover,
    encode_refusal,
    handover_token,
)
from lagoonwing_gateway._http_responder import HttpResponder
from lagoonwing_gateway.const import HANDOVER_IDLE_TIMEOUT_S, MAX_HANDOVER_BYTES
from lagoonwing_gateway.models import CallerRequest, GatewayRefusal
from lagoonwing_http import RequestBody
from lagoonwing_wire import Identity

_STATUS_OK = 200
_STATUS_NOT_TAKEN = 503


class HandoverServer:
    """Listens for other gateways."""

    name = "handover_server"

    def __init__(self, gateway: Gateway, identity: Identity, listen: HandoverAddress) -> None:
        self._listen = listen
        token = handover_token(identity.key, identity.host_id)
        self._server = HTTPServer(
            _PeerDelegate(gateway, token),
            idle_connection_timeout=HANDOVER_IDLE_TIMEOUT_S,
            max_body_size=MAX_HANDOVER_BYTES,
        )

    async def async_setup(self) -> None:
        """Start listening."""
        self._server.listen(self._listen.port, self._listen.address)

    async def async_unload(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()


class _PeerDelegate(HTTPServerConnectionDelegate):
    """Creates a message delegate for each request of a peer."""

    def __init__(self, gateway: Gateway, token: str) -> None:
        self._gateway = gateway
        self._token = token

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Start a request."""
        assert isinstance(request_conn, HTTP1Connection)
        return _PeerMessage(self._gateway, self._token, request_conn)


class _PeerMessage(HTTPMessageDelegate):
    """Reads a complete request of a peer, then serves or declines it."""

    def __init__(self, gateway: Gateway, token: str, connection: HTTP1Connection) -> None:
        self._gateway = gateway
        self._token = token
        self._connection = connection
        self._path = ""
        self._headers = HTTPHeaders()
        self._body = RequestBody(gateway.body_budget)

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Handle the head of the request."""
        assert isinstance(start_line, RequestStartLine)
        self._path = start_line.path
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Handle a part of the request."""
        self._body.add(chunk)

    def finish(self) -> None:
        """Serve the request, or say why not."""
        content = self._body.take()
        responder = _PeerResponder(
            self._connection,
            self._gateway.response_budget,
            "POST",
            lambda: self._gateway.is_draining,
        )
        responder.handover_id = self._headers.get(HEADER_ID, "")
        if content is None:
            responder.decline("the bodies of other requests take all memory for them")
            return
        if not hmac.compare_digest(self._headers.get(HEADER_TOKEN, ""), self._token):
            declined: str | None = "the sender does not hold the shared key"
        elif self._path == REACH_PATH:
            asyncio.get_running_loop().create_task(self._async_tell_reach(content, responder))
            return
        elif self._path == HANDOVER_PATH:
            declined = self._serve(content, responder)
        else:
            declined = "the path is not known"
        if declined is not None:
            self._gateway.body_budget.release(len(content))
            responder.decline(declined)

    def on_connection_close(self) -> None:
        """Discard an incomplete request."""
        self._body.discard()

    async def _async_tell_reach(self, content: bytes, responder: _PeerResponder) -> None:
        """Say whether this gateway reaches a service, and takes requests for it."""
        self._gateway.body_budget.release(len(content))
        service_id = ServiceId(content.decode(errors="replace"))
        if await self._gateway.async_may_take(service_id):
            responder.send_response(_STATUS_OK, HTTPHeaders(), b"")
        else:
            responder.decline("no endpoint of the service answers, or the gateway drains")

    def _serve(self, content: bytes, responder: _PeerResponder) -> str | None:
        """Serve a request; return why it is declined, if it is."""
        loop = asyncio.get_running_loop()
        try:
            request, version = decode_handover(content, loop.time())
        except (msgspec.MsgspecError, HTTPInputError) as error:
            return f"the request can't be read: {type(error).__name__}"
        reason = self._gateway.reason_to_decline(request, version)
        if reason is None:
            # From here on its body is what counts, and the gateway releases it.
            self._gateway.body_budget.release(len(content) - len(request.body))
            loop.create_task(self._gateway.async_serve(request, responder))
        assert request.handed_over is not None
        log_event(
            EventCode.HANDOVER_RECEIVED,
            request=request.attempt_id,
            gateway=request.handed_over.gateway_id,
            sends=request.handed_over.send_count,
            budget_ms=None if request.budget_s is None else round(request.budget_s * 1_000),
            declined=reason,
        )
        return reason


class _PeerResponder(HttpResponder):
    """Sends the response to the gateway that handed a request over.

    Attributes:
        handover_id: Id that the response repeats.
    """

    handover_id = ""

    @callback
    def refuse(self, request: CallerRequest, refusal: GatewayRefusal) -> None:
        """Pass a refusal on to the gateway that the caller has met."""
        if self.is_started:
            self.abort()
            return
        headers = HTTPHeaders({HEADER_REFUSAL: encode_refusal(refusal)})
        self.send_response(_STATUS_NOT_TAKEN, headers, b"")

    @callback
    def decline(self, reason: str) -> None:
        """Say that the request was not taken."""
        headers = HTTPHeaders({HEADER_DECLINED: reason})
        self.send_response(_STATUS_NOT_TAKEN, headers, b"")

    def _write_headers(self, status: int, headers: HTTPHeaders, content: bytes | None) -> None:
        """Write the head of a response with the id of the request."""
        headers[HEADER_ID] = self.handover_id
        super()._write_headers(status, headers, content)
