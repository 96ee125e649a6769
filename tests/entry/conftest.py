"""Fixtures of the entry host tests; makes the modules of this folder importable."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from collections.abc import AsyncIterator  # noqa: E402

import pytest  # noqa: E402
from entry_cluster import Cluster  # noqa: E402


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    """Cluster that is closed after the test."""
    cluster = Cluster(tmp_path)
    yield cluster
    await cluster.async_close()
