"""Format of requests that one gateway hands over to another, and of what it answers itself.

A request is one MessagePack struct. The response of an endpoint is passed on as it is; a refusal or
a declined request has a head that no response of an endpoint can have, since the gateways remove
headers of these names.
"""

from __future__ import annotations

import hmac
from urllib.parse import quote, unquote_to_bytes

import msgspec
from tornado.httputil import HTTPHeaders

from lagoonwing_core.ids import AttemptId, HostId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_gateway.models import CallerRequest, ExecutionState, GatewayRefusal, HandedOver
from lagoonwing_placement import RequestSize

HANDOVER_PATH = "/handover"
# Asks whether the peer reaches the service named in the body.
REACH_PATH = "/reach"
HEADER_ID = "Lagoonwing-Handover-Id"
HEADER_TOKEN = "Lagoonwing-Handover-Token"
# Says that the peer did not take the request, and why.
HEADER_DECLINED = "Lagoonwing-Handover-Declined"
# Holds the refusal of a request that the peer took.
HEADER_REFUSAL = "Lagoonwing-Handover-Refusal"
HANDOVER_HEADERS = (HEADER_ID, HEADER_DECLINED, HEADER_REFUSAL)

_ENCODER = msgspec.msgpack.Encoder()


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """A request on the wire.

    Attributes:
        version: Version of the document that the sender has applied.
        size: Prompt tokens, expected output tokens and limit of those.
    """

    version: int
    attempt_id: str | None
    method: str
    host: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str | None
    budget_s: float
    size: tuple[int, int, int | None] | None
    last_event_id: str | None
    prompt_parts: tuple[str, ...]
    gateway_id: HostId
    send_count: int
    may_have_run: bool
    first_attempt_age_s: float


class _Refusal(msgspec.Struct, frozen=True, array_like=True):
    """A refusal on the wire."""

    code: ResultCode
    execution_state: ExecutionState
    retry_after_s: float | None
    detail: str


_DECODER = msgspec.msgpack.Decoder(_Message)
_REFUSAL_DECODER = msgspec.json.Decoder(_Refusal)


def handover_token(key: bytes, peer_id: HostId) -> str:
    """Return the proof that the sender holds the shared key; it is valid at one peer only."""
    return hmac.new(key, b"handover to " + peer_id.encode(), "sha256").hexdigest()


def encode_handover(
    request: CallerRequest,
    handed_over: HandedOver,
    version: int,
    budget_s: float,
    last_event_id: str | None,
) -> bytes:
    """Encode a request for another gateway.

    Args:
        request: The request as its caller sent it.
        handed_over: What this gateway did with it.
        version: Version of the document that this gateway has applied.
        budget_s: Seconds that are left for it.
        last_event_id: Id of the last event that the caller has, if any.
    """
    size = request.size
    return _ENCODER.encode(
        _Message(
            version,
            request.attempt_id,
            request.method,
            request.host,
            request.path,
            request.target,
            tuple(request.headers.get_all()),
            request.body,
            request.key,
            budget_s,
            None if size is None else (size.prompt_tokens, size.output_tokens, size.output_limit),
            last_event_id,
            request.prompt_parts,
            handed_over.gateway_id,
            handed_over.send_count,
            handed_over.may_have_run,
            handed_over.first_attempt_age_s,
        )
    )


def decode_handover(content: bytes, received_at: float) -> tuple[CallerRequest, int]:
    """Return a request of another gateway, and the version of the document that it has applied.

    Raises:
        msgspec.MsgspecError: The bytes are no request.
        HTTPInputError: A header in it can't be one.
    """
    message = _DECODER.decode(content)
    headers = HTTPHeaders()
    for name, value in message.headers:
        headers.add(name, value)
    request = CallerRequest(
        attempt_id=None if message.attempt_id is None else AttemptId(message.attempt_id),
        method=message.method,
        host=message.host,
        path=message.path,
        target=message.target,
        headers=headers,
        body=message.body,
        key=message.key,
        budget_s=message.budget_s,
        size=None if message.size is None else RequestSize(*message.size),
        last_event_id=message.last_event_id,
        received_at=received_at,
        prompt_parts=message.prompt_parts,
        handed_over=HandedOver(
            message.gateway_id,
            message.send_count,
            message.may_have_run,
            message.first_attempt_age_s,
        ),
    )
    return request, message.version


def encode_refusal(refusal: GatewayRefusal) -> str:
    """Encode a refusal as the value of a header."""
    message = _Refusal(refusal.code, refusal.execution_state, refusal.retry_after_s, refusal.detail)
    return quote(msgspec.json.encode(message))


def decode_refusal(text: str) -> GatewayRefusal | None:
    """Return the refusal in a header, or None if there is none that can be read."""
    try:
        message = _REFUSAL_DECODER.decode(unquote_to_bytes(text))
    except msgspec.MsgspecError:
        return None
    return GatewayRefusal(
        message.code, message.detail, message.execution_state, message.retry_after_s
    )
