"""Each fault put into the core is caught by some check."""

from __future__ import annotations

import pytest
from consensus_mutations import MUTATIONS, Mutation, find_catch


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.name)
def test_mutation_is_caught(mutation: Mutation) -> None:
    """The checks of the schedules see the fault."""
    assert find_catch(mutation).check is not None
