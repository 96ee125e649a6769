"""Work that ends as soon as its caller goes."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from lagoonwing_gateway.models import CallerGone
from lagoonwing_gateway.ports import Responder

ResultT = TypeVar("ResultT")


async def async_until_gone(
    work: Coroutine[Any, Any, ResultT], responder: Responder
) -> ResultT | CallerGone:
    """Return the result of some work, or that the caller has gone, which cancels the work."""
    task = asyncio.ensure_future(work)
    responder.set_on_gone(task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        if responder.is_gone:
            return CallerGone()
        raise
    finally:
        responder.set_on_gone(_nothing)


def _nothing() -> None:
    """Do nothing when the caller goes."""
