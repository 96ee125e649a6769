"""Decorator that marks functions as safe to call from the event loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

CallableT = TypeVar("CallableT", bound=Callable[..., Any])


def callback(function: CallableT) -> CallableT:
    """Mark a function as non-blocking and safe to call from the event loop."""
    function._lagoonwing_callback = True  # type: ignore[attr-defined]
    return function
