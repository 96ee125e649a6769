"""The mutations of the replicated log can still be applied; the bench that runs them is slow."""

from __future__ import annotations

import pytest

from bench.replication_mutations import MUTATIONS, ROOT, SHELL, Mutation


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.name)
def test_mutated_line_exists_once(mutation: Mutation) -> None:
    """A line that was moved or changed would stop the bench."""
    content = (ROOT / SHELL / mutation.file).read_text(encoding="utf-8")
    assert content.count(mutation.line) == 1
