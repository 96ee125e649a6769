"""The build of an earlier commit, for tests that play it beside this one."""

from __future__ import annotations

import pytest

from lagoonwing_fakes.builds import Build, has_commit, prepare_build

# The landing before this one, and one of each older form of what is sent and kept.
LAST_LANDING = "783e7fa"
OLDER_LANDINGS = ("111d95f", "92c5dc6", "b61bb34")


def require_build(revision: str) -> Build:
    """Return a build; the test is not run in a clone whose history was cut short before it."""
    if not has_commit(revision):
        pytest.skip(f"this clone has no commit {revision}")
    build = prepare_build(revision)
    assert build.is_ok(), build.error
    return build.ok
