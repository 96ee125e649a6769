"""The capacity page contains the tables computed from the measured slopes."""

from __future__ import annotations

from pathlib import Path

from bench.capacity.slopes import load_slopes
from bench.capacity.tables import render

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"


def test_page_contains_generated_tables() -> None:
    """`script/capacity --write` must be run after changes to the slopes or the calculation."""
    assert render() in PAGE.read_text(encoding="utf-8")


def test_every_slope_has_at_least_four_points() -> None:
    """A linear fit through fewer points is not reliable."""
    assert all(len(slope.points) >= 4 for slope in load_slopes().values())
