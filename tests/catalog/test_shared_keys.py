"""Keys of two members that a request can't tell apart are never both accepted."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonwing_catalog import RouteTable, find_validation_issues
from lagoonwing_catalog.models import Document, MemberKeys
from lagoonwing_core.ids import DocumentVersion, MemberId

_KEYS = st.sampled_from(["k", "K", " k", "k ", "k\t", "k k", "", " ", "k\u00a0"])


def _document(*keys_of_members: tuple[str, ...]) -> Document:
    """Return a document with a member for each group of keys."""
    members = tuple(
        MemberKeys(MemberId(f"m-{number}"), keys) for number, keys in enumerate(keys_of_members, 1)
    )
    return Document(DocumentVersion(1), (), (), members=members)


# Guards against a member whose requests count as another's, since its key differs from that one's
# in white space that no request keeps.
@pytest.mark.parametrize("key", [" k", "k ", "\tk", "k \t"])
def test_keys_that_no_request_tells_apart_are_shared(key: str) -> None:
    """They are refused in either order; older builds accepted them, and served the plain one."""
    for keys in (("k", key), (key, "k")):
        document = _document((keys[0],), (keys[1],))
        (issue,) = find_validation_issues(document)
        assert (issue.subject, issue.passes_older_builds) == ("m-2", True)
        member = RouteTable(document).member_by_key("k")
        assert member is not None
        assert "k" in member.keys


def test_shared_key_as_written_passes_no_build() -> None:
    """That a third member has another spelling changes nothing."""
    issues = find_validation_issues(_document(("k",), ("k ",), ("k",)))
    assert [issue.passes_older_builds for issue in issues] == [True, False]


def test_only_spelling_of_a_key_is_found() -> None:
    """A key with white space around it is not answered 401; keys are compared in each letter."""
    table = RouteTable(_document((" k",), ("K",), ("k\u00a0",)))
    assert [table.member_by_key(key).member_id for key in ("k", "K", "k\u00a0")] == [  # type: ignore[union-attr]
        "m-1",
        "m-2",
        "m-3",
    ]


@given(st.lists(st.lists(_KEYS, max_size=3).map(tuple), max_size=4), _KEYS, st.randoms())
def test_no_key_belongs_to_two_accepted_members(
    keys_of_members: list[tuple[str, ...]], key: str, rng: random.Random
) -> None:
    """The order of members changes nothing in a document that is accepted."""
    document = _document(*keys_of_members)
    assert document.members is not None
    if find_validation_issues(document):
        return
    shuffled = msgspec.structs.replace(
        document, members=tuple(rng.sample(document.members, len(document.members)))
    )
    assert RouteTable(shuffled).member_by_key(key) == RouteTable(document).member_by_key(key)
