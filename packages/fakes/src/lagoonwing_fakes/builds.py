"""Builds of commits of this repository, each in a folder of its own, for fleets of mixed builds.

python -m lagoonwing_fakes.builds COMMIT    # builds it and prints the folder of its programs
"""

from __future__ import annotations

import fcntl
import os
import shutil
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from expression import Error, Ok, Result

_REPOSITORY = Path(__file__).parents[4]
_BUILDS = _REPOSITORY / "target" / "builds"
# Written last into the folder of a build.
_READY_MARK = "build-is-complete"
_BUILD_TIMEOUT_S = 600.0
_MAX_MESSAGE_CHARACTERS = 400


@dataclass(frozen=True, slots=True)
class Build:
    """Programs of one commit, with the libraries that it pins.

    Attributes:
        commit: Full hash of the commit.
        folder: Copy of the repository at that commit, in which it was built.
    """

    commit: str
    folder: Path

    @property
    def name(self) -> str:
        """Short form of the commit."""
        return self.commit[:7]

    def contains(self, revision: str) -> bool:
        """Return whether a commit is this one or one before it."""
        return _run("git", "merge-base", "--is-ancestor", revision, self.commit).is_ok()

    def command(self, *arguments: str) -> list[str]:
        """Return the command that runs its program."""
        return [str(_base_python()), "-m", "lagoonwing", *arguments]

    def environment(self) -> dict[str, str]:
        """Return the variables under which only its own packages are found."""
        return {**os.environ, "PYTHONPATH": str(self.folder / "target" / "deps")}


def has_commit(revision: str) -> bool:
    """Return whether this repository has a commit; a clone whose history was cut may not."""
    return _find_commit(revision).is_ok()


def prepare_build(revision: str) -> Result[Build, str]:
    """Build a commit, unless that was done before.

    Args:
        revision: Any name of a commit that git knows.

    Returns:
        The build, or why the commit can't be built here.
    """
    found = _find_commit(revision)
    if found.is_error():
        return Error(f"no commit {revision} in this repository (is its history cut short?)")
    commit = found.ok
    build = Build(commit, _BUILDS / commit)
    with _locked(commit):
        if (build.folder / _READY_MARK).exists():
            return Ok(build)
        return _make(build)


def _find_commit(revision: str) -> Result[str, str]:
    """Return the full hash of a commit."""
    found = _run("git", "rev-parse", "--verify", "--quiet", f"{revision}^{{commit}}")
    return found.map(str.strip)


def _make(build: Build) -> Result[Build, str]:
    """Copy a commit into its folder and run its own build script there."""
    shutil.rmtree(build.folder, ignore_errors=True)
    build.folder.mkdir(parents=True)
    archive = build.folder / "archive.tar"
    steps = (
        ("git", "archive", "--output", str(archive), build.commit),
        ("tar", "--extract", "--file", str(archive), "--directory", str(build.folder)),
        (str(build.folder / "deploy" / "build"),),
    )
    for step in steps:
        done = _run(*step)
        if done.is_error():
            return Error(f"{build.name} can't be built: {done.error}")
    archive.unlink()
    (build.folder / _READY_MARK).touch()
    return Ok(build)


def _run(*command: str) -> Result[str, str]:
    """Run a command at the root of the repository; return its output, or why it failed."""
    path = f"{_base_python().parent}{os.pathsep}{os.environ.get('PATH', os.defpath)}"
    try:
        done = subprocess.run(  # noqa: S603
            command,
            cwd=_REPOSITORY,
            env={**os.environ, "PATH": path},
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=_BUILD_TIMEOUT_S,
            check=False,
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        return Error(str(error))
    if done.returncode != 0:
        return Error(f"{command[0]}: {done.stderr.strip()[-_MAX_MESSAGE_CHARACTERS:]}")
    return Ok(done.stdout)


def _base_python() -> Path:
    """Return the interpreter outside the virtual environment, which sees no packages of that."""
    return Path(sys.base_prefix) / "bin" / "python3"


@contextmanager
def _locked(commit: str) -> Iterator[None]:
    """Let one process at a time build a commit."""
    _BUILDS.mkdir(parents=True, exist_ok=True)
    with (_BUILDS / f"{commit}.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def main() -> int:
    """Build the commit that the command line names."""
    if len(sys.argv) != 2:
        print(__doc__, file=sys.stderr)
        return 2
    match prepare_build(sys.argv[1]):
        case Result(tag="ok", ok=build):
            print(build.folder / "target" / "deps")
            return 0
        case Result(error=reason):
            print(reason, file=sys.stderr)
            return 1


if __name__ == "__main__":
    sys.exit(main())
