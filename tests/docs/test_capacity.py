"""The capacity page holds the tables that the measured slopes give."""

from __future__ import annotations

from pathlib import Path

from bench.capacity.slopes import load_slopes
from bench.capacity.tables import render

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"


def test_page_holds_the_tables() -> None:
    """`script/capacity --write` was run after the last change of slopes or arithmetic."""
    assert render() in PAGE.read_text(encoding="utf-8")


def test_every_slope_has_four_points() -> None:
    """A line through fewer points says too little."""
    assert all(len(slope.points) >= 4 for slope in load_slopes().values())
