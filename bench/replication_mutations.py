"""Puts faults into a copy of the log's shell and prints which test catches each, as a table."""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[1]
SHELL = Path("packages/replication/src/lagoonwing_replication")
TIMEOUT_S = 300


@dataclass(frozen=True)
class Mutation:
    """One fault: a line of a file and what stands there instead."""

    name: str
    file: str
    line: str
    replacement: str


MUTATIONS = (
    Mutation(
        "acknowledge before the write",
        "_writer.py",
        "durable = [output for output in batch if output.needs_sync]",
        "self._on_synced(batch); durable = [output for output in batch if output.needs_sync]",
    ),
    Mutation(
        "damage in the middle cut off",
        "_segments.py",
        "if not is_last or has_later_frame(content, position, self._next_sequence):",
        "if not is_last:",
    ),
    Mutation(
        "accepted entries may be missing",
        "_replay.py",
        "if self.hard_state.commit > last_index:",
        "if False:",
    ),
    Mutation(
        "missing frames not noticed",
        "_segments.py",
        "if self._next_sequence not in (1, frame.sequence):",
        "if False:",
    ),
    Mutation(
        "snapshot's term not compared",
        "_replay.py",
        "if self._term_at(snapshot.index) == snapshot.term:",
        "if snapshot.index <= self.last_index:",
    ),
    Mutation(
        "log kept by a replacing snapshot",
        "_storage.py",
        "if output.log_reset and output.snapshot is not None:",
        "if False:",
    ),
    Mutation(
        "founder doesn't ask about bonds",
        "_bootstrap.py",
        "if not all(reply.is_empty and reply.cluster_id in allowed for reply in replies):",
        "if False:",
    ),
    Mutation(
        "messages of other logs taken",
        "_inbox.py",
        "if packet.cluster_id == self._identity_store.cluster_id:",
        "if True:",
    ),
    Mutation(
        "leads on with a full disk",
        "_raft_log.py",
        "self._stop_core()\n        if error.is_full:",
        "if error.is_full:",
    ),
    Mutation(
        "segments removed too early",
        "_segments.py",
        "self._segments[0].highest_index <= index:",
        "True:",
    ),
)


def main() -> int:
    """Run every mutation; return 1 if one is not caught."""
    missed = 0
    print("| Fault | Caught by |")
    print("| --- | --- |")
    with tempfile.TemporaryDirectory() as name:
        copy = Path(name)
        for part in ("packages", "tests", "pyproject.toml", "KNOWN-RED.txt"):
            source = ROOT / part
            if source.is_dir():
                shutil.copytree(source, copy / part)
            else:
                shutil.copy(source, copy / part)
        for mutation in MUTATIONS:
            failed = _failed_tests(copy, mutation)
            missed += not failed
            print(f"| {mutation.name} | {', '.join(failed) or 'nothing'} |", flush=True)
    return 1 if missed else 0


def _failed_tests(copy: Path, mutation: Mutation) -> list[str]:
    """Return the tests that fail with a mutation, without their parameters."""
    path = copy / SHELL / mutation.file
    content = path.read_text(encoding="utf-8")
    if content.count(mutation.line) != 1:
        raise ValueError(f"{mutation.name}: the line is not there once")
    path.write_text(content.replace(mutation.line, mutation.replacement), encoding="utf-8")
    sources = os.pathsep.join(str(source) for source in sorted(copy.glob("packages/*/src")))
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-n", "4", "-p", "no:cacheprovider", "tests/replication"],
        cwd=copy,
        env={**os.environ, "PYTHONPATH": sources},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    path.write_text(content, encoding="utf-8")
    names = re.findall(r"^FAILED \S+::(\w+)", run.stdout, re.MULTILINE)
    return [f"`{name}`" for name in dict.fromkeys(names)]


if __name__ == "__main__":
    sys.exit(main())
