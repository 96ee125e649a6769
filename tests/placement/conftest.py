"""Fixtures: fleets of mixed accelerators."""

from __future__ import annotations

import pytest

from lagoonwing_catalog.models import Engine
from lagoonwing_fakes.fleets import make_engine, make_fleet
from lagoonwing_placement import PlacementEndpoint


@pytest.fixture
def engine() -> Engine:
    """Return published figures of a large model on three accelerator kinds."""
    return make_engine()


@pytest.fixture
def fleet(engine: Engine) -> list[PlacementEndpoint]:
    """Return a fleet in which each domain can hold the model on its own."""
    return make_fleet(engine, {"a": (2, 2, 5), "b": (1, 3, 8), "c": (1, 6, 5)})


@pytest.fixture
def scattered_fleet(engine: Engine) -> list[PlacementEndpoint]:
    """Return a fleet in which no domain can hold the model on its own."""
    return make_fleet(engine, {"a": (1, 0, 1), "b": (0, 2, 1), "c": (0, 1, 2), "d": (1, 0, 0)})
