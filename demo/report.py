"""Output and checks of the demonstration."""

from __future__ import annotations


class DemoError(Exception):
    """A check of the demonstration failed."""


def say(text: str) -> None:
    """Print a line without buffering."""
    print(text, flush=True)


def expect(holds: bool, text: str) -> None:
    """Print the result of a check.

    Raises:
        DemoError: The check failed.
    """
    say(f"  {'ok' if holds else 'FAILED'}: {text}")
    if not holds:
        raise DemoError(text)
