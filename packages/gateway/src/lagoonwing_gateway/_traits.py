"""Traits of a request that may crash endpoints: the request itself, and each part of its prompt."""

from __future__ import annotations

import hashlib

from lagoonwing_core.ids import Fingerprint
from lagoonwing_gateway.const import MAX_PROMPT_PARTS
from lagoonwing_gateway.models import RequestContext

_DIGEST_BYTES = 12
_PART_MARK = "part:"


def request_traits(context: RequestContext) -> tuple[Fingerprint, ...]:
    """Return all traits of a request."""
    return (request_fingerprint(context), *part_traits(context))


def part_traits(context: RequestContext) -> tuple[Fingerprint, ...]:
    """Return the shared parts of a request's prompt; its last part is its own."""
    shared = context.request.prompt_parts[:-1][:MAX_PROMPT_PARTS]
    return tuple(dict.fromkeys(_part_fingerprint(part) for part in shared))


def is_part(trait: Fingerprint) -> bool:
    """Return whether a trait is a part of a prompt."""
    return trait.startswith(_PART_MARK)


def request_fingerprint(context: RequestContext) -> Fingerprint:
    """Return a fingerprint that is the same for all retries of a request."""
    member_id = "" if context.member is None else context.member.member_id
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (context.request.target.encode(), member_id.encode(), context.request.body):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return Fingerprint(digest.hexdigest())


def _part_fingerprint(part: str) -> Fingerprint:
    """Return the fingerprint of a prompt part; ids of any length become short ones."""
    digest = hashlib.blake2b(part.encode(), digest_size=_DIGEST_BYTES)
    return Fingerprint(_PART_MARK + digest.hexdigest())
