"""Cancellation of work whose caller has disconnected."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from lagoonwing_gateway.models import CallerGone
from lagoonwing_gateway.ports import Responder

ResultT = TypeVar("ResultT")


async def async_run_until_disconnect(
    coroutine: Coroutine[Any, Any, ResultT], responder: Responder
) -> ResultT | CallerGone:
    """Return the result of a coroutine; cancel it and return CallerGone on disconnect."""
    if responder.is_disconnected:
        coroutine.close()
        return CallerGone()
    task = asyncio.ensure_future(coroutine)
    responder.set_on_disconnect(task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        if responder.is_disconnected:
            return CallerGone()
        raise
    finally:
        responder.set_on_disconnect(_ignore_disconnect)
        # Its exception refers to this frame, which would refer to it in turn.
        del task


def _ignore_disconnect() -> None:
    """Ignore a disconnect after the coroutine has finished."""
