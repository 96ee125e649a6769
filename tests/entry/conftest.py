"""Lets the tests of this folder import its cell of hosts and stand-ins."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from collections.abc import AsyncIterator  # noqa: E402

import pytest  # noqa: E402
from entry_cell import Cell  # noqa: E402


@pytest.fixture
async def cell(tmp_path: Path) -> AsyncIterator[Cell]:
    """A cell that is closed after the test."""
    cell = Cell(tmp_path)
    yield cell
    await cell.async_close()
