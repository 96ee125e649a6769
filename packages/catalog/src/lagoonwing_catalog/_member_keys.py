"""Keys of members, in the form in which documents and requests are compared."""

from __future__ import annotations

from lagoonwing_catalog.models import MemberKeys

_WHITE_SPACE = " \t"


def canonical_key(text: str) -> str:
    """Return a key as a request can carry it: white space around it is lost on the way."""
    return text.strip(_WHITE_SPACE)


def index_members(members: tuple[MemberKeys, ...]) -> dict[str, MemberKeys]:
    """Return members by canonical key.

    Older builds accepted keys of two members that differ in white space only; such a key belongs to
    the member whose document holds it as requests carry it, as at these builds.
    """
    pairs = [(key, member) for member in members for key in member.keys]
    by_key = {canonical_key(key): member for key, member in pairs}
    return by_key | {key: member for key, member in pairs if key == canonical_key(key)}
