"""Checks that each bug injected into the core is detected."""

from __future__ import annotations

import pytest
from consensus_mutations import MUTATIONS, Mutation, detect


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.name)
def test_mutation_is_caught(mutation: Mutation) -> None:
    """At least one check of the schedules detects the bug."""
    assert detect(mutation).invariant is not None
