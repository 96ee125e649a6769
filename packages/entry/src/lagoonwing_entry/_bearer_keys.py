"""Hashes of bearer keys, as `lagoonctl` and the settings hold them."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator

_BEARER = "Bearer "
_HEADER_ENCODING = "latin-1"


def bearer_key_hashes(authorization: str, max_characters: int) -> Iterator[str]:
    """Yield the hashes under which the key of an `Authorization` header may be known.

    Keys are registered by the hash of their UTF-8 form, which most callers send. Some send a key in
    Latin-1, which gives another hash if it holds letters beyond ASCII.

    Args:
        authorization: Value of the header, as decoded by the server; empty without one.
        max_characters: Longest value that is looked at.
    """
    if not authorization.startswith(_BEARER) or len(authorization) > max_characters:
        return
    key = authorization[len(_BEARER) :]
    yield hashlib.sha256(key.encode(_HEADER_ENCODING)).hexdigest()
    if not key.isascii():
        yield hashlib.sha256(key.encode()).hexdigest()
