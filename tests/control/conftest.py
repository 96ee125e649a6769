"""Fixtures of the tests of control."""

from __future__ import annotations

import pytest
from state_machine_support import MachineReplica


@pytest.fixture
def replica() -> MachineReplica:
    """A replica with empty state."""
    return MachineReplica()
