"""A status of three digits that belongs to no class is no answer."""

from __future__ import annotations

import pytest

from lagoonwing_http._response_parser import ResponseParser
from lagoonwing_http.errors import AnswerBrokenError


def _response(status: str) -> bytes:
    """Return the bytes of a complete response."""
    return f"HTTP/1.1 {status} Odd\r\nContent-Length: 3\r\n\r\nodd".encode()


@pytest.mark.parametrize("status", ["000", "001", "042", "099", "101", "600", "700", "999"])
@pytest.mark.parametrize("method", ["GET", "POST", "HEAD"])
def test_status_without_a_class_is_no_answer(status: str, method: str) -> None:
    """Whatever comes with it reaches no caller."""
    with pytest.raises(AnswerBrokenError):
        ResponseParser(method).feed(_response(status))


@pytest.mark.parametrize("status", [200, 299, 300, 404, 499, 500, 503, 599])
def test_status_of_each_class_is_an_answer(status: int) -> None:
    """Statuses that nobody has registered have a class all the same."""
    parser = ResponseParser("POST")
    parser.feed(_response(str(status)))
    assert parser.is_complete
    assert parser.head is not None
    assert parser.head.status == status
