"""Heads that repeat what an answer names once belong to no request."""

from __future__ import annotations

import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine

from lagoonwing_core.ids import RequestId
from lagoonwing_entry._dispatch import OpenDispatch, OutgoingRequest
from lagoonwing_entry.const import HEADER_ATTEMPT, HEADER_REQUEST_ID
from lagoonwing_entry.models import DispatchId
from lagoonwing_http import ResponseBudget, ResponseMatch
from lagoonwing_platform.const import HEADER_ATTEMPT_ID, HEADER_SIGNATURE
from lagoonwing_platform.dialect import PlatformDialect, decode_request

START_LINE = RequestStartLine("GET", "/x", "HTTP/1.1")


def _headers(*pairs: tuple[str, str]) -> HTTPHeaders:
    """Return headers, some of them more than once."""
    headers = HTTPHeaders()
    for name, value in pairs:
        headers.add(name, value)
    return headers


@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("second_id", ["a-1", "a-2"])
@pytest.mark.parametrize("name", [HEADER_ATTEMPT_ID, HEADER_SIGNATURE])
def test_answer_with_two_ids_or_signatures_is_of_no_request(
    name: str, second_id: str, is_reused: bool
) -> None:
    """A head that was made of two is neither the due answer nor an earlier one."""
    request = decode_request(START_LINE, _headers((HEADER_ATTEMPT_ID, "a-1")), b"", 0.0)
    dialect = PlatformDialect(lambda endpoint_id: None)
    match_response = dialect.response_matcher(request, is_reused=is_reused)
    own = ((HEADER_ATTEMPT_ID, "a-1"), (HEADER_SIGNATURE, "a-1"))
    assert match_response(_headers(*own)) is ResponseMatch.OWN
    assert match_response(_headers(*own, (name, second_id))) is ResponseMatch.UNKNOWN


@pytest.mark.parametrize("name", [HEADER_REQUEST_ID, HEADER_ATTEMPT])
def test_answer_with_two_ids_is_of_no_dispatch(name: str) -> None:
    """The same holds for the product's own headers."""
    request = OutgoingRequest("POST", "/x", HTTPHeaders(), b"", DispatchId(RequestId("a-1"), 1))
    dispatch = OpenDispatch(None, ResponseBudget(0), None, request)  # type: ignore[arg-type]
    own = ((HEADER_REQUEST_ID, "a-1"), (HEADER_ATTEMPT, "1"))
    assert dispatch._match_response(_headers(*own), is_reused=True) is ResponseMatch.OWN
    doubled = _headers(*own, (name, "2"))
    assert dispatch._match_response(doubled, is_reused=True) is ResponseMatch.UNKNOWN
