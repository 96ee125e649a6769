"""The limit in the head of an endpoint's response."""

from __future__ import annotations

import pytest
from tornado.httputil import HTTPHeaders

from lagoonwing_gateway.models import NamedLimit
from lagoonwing_http import ResponseHead
from lagoonwing_platform.const import HEADER_LIMIT
from lagoonwing_platform.dialect import PlatformDialect


@pytest.mark.parametrize(
    ("text", "limit"),
    [
        (None, NamedLimit(None)),
        ("2", NamedLimit(2.0)),
        ("0.25", NamedLimit(0.25)),
        ("0", NamedLimit(0.0)),
        ("", None),
        ("fast", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
    ],
)
def test_limit_is_read(text: str | None, limit: NamedLimit | None) -> None:
    """A limit that can't be read says nothing, neither of a limit nor of its end."""
    headers = HTTPHeaders() if text is None else HTTPHeaders({HEADER_LIMIT: text})
    dialect = PlatformDialect(lambda endpoint_id: None)
    assert dialect.response_info(ResponseHead(200, headers, True)).named_limit == limit
