"""Requests and refusals that gateways pass to each other keep every byte."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from lagoonwing_core.ids import AttemptId, HostId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_gateway._handover_codec import (
    decode_handover,
    decode_refusal,
    encode_handover,
    encode_refusal,
    handover_token,
)
from lagoonwing_gateway.models import CallerRequest, ExecutionState, GatewayRefusal, HandedOver
from lagoonwing_placement import RequestSize

_TEXT = st.text(max_size=30)
_HANDED_OVER = HandedOver(HostId("gateway-1"), 1, may_have_run=True, first_attempt_age_s=1.5)


@given(
    target=_TEXT,
    values=st.lists(st.from_regex(r"[!-~\xa1-\xff]{0,20}", fullmatch=True), max_size=4),
    body=st.binary(max_size=200),
    key=st.none() | _TEXT,
    size=st.none() | st.tuples(st.integers(0, 9_999), st.integers(0, 9_999)),
    last_event_id=st.none() | _TEXT,
)
def test_request_arrives_as_it_was_sent(
    target: str,
    values: list[str],
    body: bytes,
    key: str | None,
    size: tuple[int, int] | None,
    last_event_id: str | None,
) -> None:
    """Header lines of one name stay apart and in order."""
    headers = HTTPHeaders()
    for value in values:
        headers.add("X-Repeated", value)
    request = CallerRequest(
        attempt_id=AttemptId("a-1"),
        method="POST",
        host="h.example",
        path=target,
        target=target,
        headers=headers,
        body=body,
        key=key,
        budget_s=3.0,
        size=None if size is None else RequestSize(*size),
        last_event_id=None,
        received_at=0.0,
        prompt_parts=("a", "b"),
    )
    content = encode_handover(request, _HANDED_OVER, 7, 2.5, last_event_id)
    decoded, version = decode_handover(content, 10.0)
    assert version == 7
    assert list(decoded.headers.get_all()) == list(headers.get_all())
    assert (decoded.target, decoded.body, decoded.key, decoded.size) == (
        target,
        body,
        key,
        request.size,
    )
    assert (decoded.budget_s, decoded.last_event_id) == (2.5, last_event_id)
    assert decoded.handed_over == _HANDED_OVER
    assert decoded.earlier_sends == 1


@given(detail=_TEXT, retry_after_s=st.none() | st.floats(0, 60))
def test_refusal_arrives_as_it_was_sent(detail: str, retry_after_s: float | None) -> None:
    """A header takes few characters, a refusal may quote what the caller sent."""
    refusal = GatewayRefusal(ResultCode.NO_ENDPOINT, detail, ExecutionState.NOT_RUN, retry_after_s)
    text = encode_refusal(refusal)
    assert text.isascii() and text.isprintable()
    assert decode_refusal(text) == refusal


def test_token_is_valid_at_one_peer_only() -> None:
    """What one gateway has seen opens no other."""
    key = b"key-of-the-tests-0123456789"
    tokens = {handover_token(key, HostId(f"gateway-{number}")) for number in range(3)}
    assert len(tokens) == 3
    assert handover_token(b"another key", HostId("gateway-0")) not in tokens
