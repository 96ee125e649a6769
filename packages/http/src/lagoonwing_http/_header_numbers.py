"""Numbers in headers."""

from __future__ import annotations

import math

from tornado.httputil import HTTPHeaders

from lagoonwing_http.const import MAX_NUMBER_CHARACTERS


def parse_seconds(headers: HTTPHeaders, name: str) -> float | None:
    """Return the seconds that a header names, which may have a fraction; None for anything else.

    A date, a sign, two values or an endless number of digits name no time.
    """
    values = headers.get_list(name)
    if len(values) != 1 or len(values[0]) > MAX_NUMBER_CHARACTERS:
        return None
    text = values[0].strip()
    if not text or not all(character in "0123456789." for character in text):
        return None
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) else None
