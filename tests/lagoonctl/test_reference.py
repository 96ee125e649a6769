"""`docs/CLI.md` matches the commands."""

from __future__ import annotations

from pathlib import Path

from lagoonctl.reference import render_reference

PAGE = Path(__file__).parents[2] / "docs" / "CLI.md"


def test_page_matches_commands() -> None:
    """Write the output of `render_reference()` to the page when a command changes."""
    assert PAGE.read_text(encoding="utf-8") == render_reference()
