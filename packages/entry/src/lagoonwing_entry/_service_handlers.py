"""Handlers of service calls."""

from __future__ import annotations

from urllib.parse import unquote

from expression import Error, Ok, Result
from tornado.iostream import StreamClosedError

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import IdempotencyKey, ServiceId
from lagoonwing_core.result_codes import Outcome, ResultCode
from lagoonwing_entry._caller_handlers import CallerHandler
from lagoonwing_entry.const import HEADER_IDEMPOTENCY_KEY, MAX_IDEMPOTENCY_KEY_BYTES
from lagoonwing_entry.models import RequestResult, ServiceCallRequest

_SERVICES_PREFIX = "/services/"
# Hop-by-hop headers, and headers that this host sets itself.
_EXCLUDED_REQUEST_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-attempt",
        "x-deadline-ms",
        "x-outcome",
        "x-priority",
        "x-request-id",
    }
)


class ServiceHandler(CallerHandler):
    """`/services/{service}/...` with any method."""

    async def get(self) -> None:
        """Handle a service call."""
        await self._async_handle()

    async def post(self) -> None:
        """Handle a service call."""
        await self._async_handle()

    async def put(self) -> None:
        """Handle a service call."""
        await self._async_handle()

    async def patch(self) -> None:
        """Handle a service call."""
        await self._async_handle()

    async def delete(self) -> None:
        """Handle a service call."""
        await self._async_handle()

    async def _async_handle(self) -> None:
        """Parse and run a service call."""
        body = self.read_body()
        if body is None:
            return
        match self._parse_request(body):
            case Result(tag="ok", ok=(call, deadline, idempotent)):
                await self._async_run(call, deadline, idempotent)
            case Result(error=refusal):
                self.refuse(refusal)

    def _parse_request(
        self, body: bytes
    ) -> Result[tuple[ServiceCallRequest, float, bool], Refusal]:
        """Return the call, its deadline and whether it is idempotent, or why it is refused."""
        service, _, path = self.request.path[len(_SERVICES_PREFIX) :].partition("/")
        service_id = ServiceId(unquote(service))
        if not self.context.directory.knows_service(service_id):
            return Error(Refusal(ResultCode.UNKNOWN_SERVICE, "no endpoint offers this service"))
        deadline = self.deadline()
        if deadline.is_error():
            return Error(deadline.error)
        key = self._idempotency_key()
        if key.is_error():
            return Error(key.error)
        method = self.request.method or "GET"
        path = f"/{path}"
        idempotent = self.context.directory.is_idempotent(service_id, method, path)
        query = f"?{self.request.query}" if self.request.query else ""
        call = ServiceCallRequest(
            service_id=service_id,
            method=method,
            path=path + query,
            headers=self._forwarded_headers(),
            body=body,
            key=None if idempotent else key.ok,
        )
        return Ok((call, deadline.ok, idempotent))

    async def _async_run(self, call: ServiceCallRequest, deadline: float, idempotent: bool) -> None:
        """Run a parsed call and send its response."""
        refusal = self.host_refusal()
        if refusal is not None:
            # An earlier call with this key may have run; only its claim would show that.
            self.refuse(refusal, Outcome.NOT_RUN if call.key is None else Outcome.UNKNOWN)
            return
        profile = self.profile(call, deadline, idempotent)
        finished = await self.async_finish_call(self.context.services.async_call(profile, call))
        try:
            self._send_response(finished)
        except StreamClosedError:
            return

    def _send_response(self, finished: RequestResult) -> None:
        """Forward the response of the service."""
        response = finished.response
        if response is None:
            self.send_failure(finished)
            return
        self.set_status(response.status)
        self.clear_header("Content-Type")
        for name, value in response.headers:
            self.add_header(name, value)
        self.set_result_headers(finished.outcome, finished.code)
        if response.status in (204, 304):
            self.finish()
            return
        self.finish(response.body)

    def _idempotency_key(self) -> Result[IdempotencyKey | None, Refusal]:
        """Return the idempotency key of the request, if any."""
        text = self.request.headers.get(HEADER_IDEMPOTENCY_KEY)
        if text is None:
            return Ok(None)
        if not text or len(text) > MAX_IDEMPOTENCY_KEY_BYTES or not text.isprintable():
            detail = f"{HEADER_IDEMPOTENCY_KEY} must be 1 to {MAX_IDEMPOTENCY_KEY_BYTES} characters"
            return Error(Refusal(ResultCode.HEADER_INVALID, detail))
        return Ok(IdempotencyKey(text))

    def _forwarded_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers to forward to the service."""
        return tuple(
            (name, value)
            for name, value in self.request.headers.get_all()
            if name.lower() not in _EXCLUDED_REQUEST_HEADERS
        )
