"""Builds of earlier commits run their own packages, whatever is installed here."""

from __future__ import annotations

import subprocess

from old_build import LAST_LANDING, require_build

from lagoonwing_fakes.builds import prepare_build


def test_build_runs_its_own_packages() -> None:
    """Its program finds no package of the working tree, and is made once."""
    build = require_build(LAST_LANDING)
    assert build.commit.startswith(LAST_LANDING)
    code = "import lagoonwing, msgspec; print(lagoonwing.__file__); print(msgspec.__file__)"
    done = subprocess.run(
        [build.command()[0], "-c", code],
        env=build.environment(),
        capture_output=True,
        text=True,
        check=True,
    )
    files = done.stdout.splitlines()
    assert len(files) == 2
    assert all(file.startswith(str(build.folder)) for file in files)
    mark = next(build.folder.glob("build-*")).stat().st_mtime_ns
    assert prepare_build(LAST_LANDING).ok == build
    assert next(build.folder.glob("build-*")).stat().st_mtime_ns == mark


def test_unknown_commit_is_said_to_be_unknown() -> None:
    """A commit that this repository doesn't have is refused with its name."""
    assert "0123456789" in prepare_build("0123456789").error
