"""`docs/CLI.md` says what the commands say."""

from __future__ import annotations

from pathlib import Path

from lagoonctl.reference import render_reference

PAGE = Path(__file__).parents[2] / "docs" / "CLI.md"


def test_page_is_made_from_the_commands() -> None:
    """Write `render_reference()` to the page when a command changes."""
    assert PAGE.read_text(encoding="utf-8") == render_reference()
