"""Fixtures for platform tests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from platform_deployment import Deployment, async_run_deployment


@pytest.fixture
async def deployment(tmp_path: Path) -> AsyncIterator[Deployment]:
    """Run a registry and a gateway for one test."""
    async with async_run_deployment(tmp_path / "log") as running:
        yield running
