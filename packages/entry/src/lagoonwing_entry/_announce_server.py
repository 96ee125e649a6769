"""HTTP server that receives endpoint announcements."""

from __future__ import annotations

import ipaddress
import itertools
from typing import Any

import msgspec
from expression import Error, Ok, Result
from tornado.netutil import bind_sockets
from tornado.web import Application

from lagoonwing_core.clock import Clock
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import RequestId
from lagoonwing_core.models import EndpointKind, EndpointRecord
from lagoonwing_core.result_codes import Outcome, ResultCode
from lagoonwing_entry._bearer_keys import bearer_key_hashes
from lagoonwing_entry._bounded_handler import BodyLimits, BoundedHandler
from lagoonwing_entry._bounded_server import BoundedHTTPServer, bounded_server
from lagoonwing_entry.const import MAX_KEY_BYTES
from lagoonwing_entry.models import AnnounceServerSettings
from lagoonwing_entry.ports import MembershipPort
from lagoonwing_http import BodyBudget

_MAX_ID_CHARACTERS = 128
_MAX_MODELS = 64
_MAX_CALLS = 256
_MAX_PORT = 65535
_DECODER = msgspec.json.Decoder(EndpointRecord)


class AnnounceResponse(msgspec.Struct):
    """Renewal interval and the announce addresses of all entry hosts."""

    renew_after_s: float
    entries: tuple[str, ...]


class AnnounceHandler(BoundedHandler):
    """`POST /announce`."""

    _request_numbers = itertools.count(1)

    def initialize(
        self,
        settings: AnnounceServerSettings,
        membership: MembershipPort,
        clock: Clock,
        budget: BodyBudget,
    ) -> None:
        """Store the dependencies."""
        self.announce_settings = settings
        self.membership = membership
        self.clock = clock
        self.limits = BodyLimits(settings.max_body_bytes, settings.body_timeout_s, budget)
        self.request_id = RequestId(f"announce-{next(self._request_numbers)}")

    def check_request(self) -> Refusal | None:
        """Check the endpoint key."""
        authorization = self.request.headers.get("Authorization", "")
        key_hashes = frozenset(bearer_key_hashes(authorization, MAX_KEY_BYTES))
        if not key_hashes:
            return Refusal(ResultCode.BAD_KEY, "an endpoint key is needed")
        if key_hashes.isdisjoint(self.announce_settings.key_hashes):
            return Refusal(ResultCode.BAD_KEY, "the endpoint key is not known")
        return None

    async def post(self) -> None:
        """Handle an announcement, a renewal or a leave."""
        body = self.read_body()
        if body is None:
            return
        accepted = parse_announcement(body).bind(
            lambda record: self.membership.announce(record, self.clock.now())
        )
        if accepted.is_error():
            self.refuse(accepted.error)
            return
        self.set_result_headers(Outcome.DONE, ResultCode.OK)
        self.set_header("Content-Type", "application/json")
        response = AnnounceResponse(
            self.announce_settings.renew_after_s, self.announce_settings.entries
        )
        self.finish(msgspec.json.encode(response))

    def refuse(self, refusal: Refusal, outcome: Outcome = Outcome.NOT_RUN) -> None:
        """Send and log a refusal."""
        log_event(
            EventCode.ENDPOINT_REFUSED,
            peer=self.request.remote_ip,
            code=refusal.code.value,
            reason=refusal.detail,
        )
        super().refuse(refusal, outcome)


class AnnounceServer:
    """Listens for endpoint announcements."""

    name = "announce_server"

    def __init__(
        self, settings: AnnounceServerSettings, membership: MembershipPort, clock: Clock
    ) -> None:
        self._settings = settings
        self._membership = membership
        self._clock = clock
        self._server: BoundedHTTPServer | None = None
        self.port = settings.port

    async def async_setup(self) -> None:
        """Start listening."""
        sockets = bind_sockets(self._settings.port, self._settings.address)
        self.port = sockets[0].getsockname()[1]
        arguments: dict[str, Any] = {
            "settings": self._settings,
            "membership": self._membership,
            "clock": self._clock,
            "budget": BodyBudget(self._settings.max_buffered_bytes),
        }
        application = Application(
            [("/announce", AnnounceHandler, arguments)], log_function=lambda handler: None
        )
        self._server = bounded_server(application, self._settings.max_connections)
        self._server.add_sockets(sockets)

    async def async_unload(self) -> None:
        """Stop listening and close open connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()


def parse_announcement(body: bytes) -> Result[EndpointRecord, Refusal]:
    """Return the validated record, or why the announcement is refused."""
    try:
        record = _DECODER.decode(body)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        return Error(Refusal(ResultCode.MALFORMED_REQUEST, str(error)))
    invalid_reason = _record_error(record)
    if invalid_reason is not None:
        return Error(Refusal(ResultCode.MALFORMED_REQUEST, invalid_reason))
    return Ok(record)


def _record_error(record: EndpointRecord) -> str | None:
    """Return why a record is invalid, if it is."""
    names = (record.endpoint_id, record.failure_domain, *record.models, record.service or "x")
    if any(not name or len(name) > _MAX_ID_CHARACTERS for name in names):
        return f"ids must have 1 to {_MAX_ID_CHARACTERS} characters"
    if len(record.models) > _MAX_MODELS or len(record.calls) > _MAX_CALLS:
        return f"at most {_MAX_MODELS} models and {_MAX_CALLS} calls"
    if not 0 < record.port <= _MAX_PORT:
        return f"port must be 1 to {_MAX_PORT}"
    try:
        ipaddress.ip_address(record.address)
    except ValueError:
        return "address must be an IP number"
    if record.slots < 1 or record.incarnation < 1 or record.sequence < 0:
        return "slots and incarnation must be at least 1"
    return _kind_error(record)


def _kind_error(record: EndpointRecord) -> str | None:
    """Return why a record is invalid for its kind of endpoint, if it is."""
    match record.kind:
        case EndpointKind.SERVICE:
            return None if record.service else "a service must name itself"
        case EndpointKind.WHOLE_MODEL:
            return None if record.models else "a model server must name its models"
        case EndpointKind.STAGE:
            layers = record.layers
            if len(record.models) != 1 or layers is None:
                return "a stage must name its model and layers"
            if not 0 <= layers.first < layers.end <= record.layer_count:
                return "layers must lie within layer_count"
            return None
