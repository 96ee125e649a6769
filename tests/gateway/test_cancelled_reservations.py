"""Permits of attempts that are being reserved when their caller disconnects."""

from __future__ import annotations

import asyncio
import math
from typing import Any, Never
from unittest.mock import MagicMock

import pytest

from lagoonwing_core.ids import EndpointId, ServiceId
from lagoonwing_gateway._call_endpoints import EndpointClaim
from lagoonwing_gateway._call_handler import CallHandler
from lagoonwing_gateway._permit_pool import Permit
from lagoonwing_gateway._stream_failover import PathClaim, StreamFailover

PERMIT = Permit(ServiceId("models"), EndpointId("e1"), None, math.inf)


async def _async_connect_forever(*_: Any, **__: Any) -> Never:
    """Connect to an endpoint that does not answer."""
    await asyncio.Event().wait()
    raise AssertionError


async def _async_cancel(task: asyncio.Task[bool]) -> None:
    """Cancel a reservation once it connects, as a disconnect of the caller does."""
    await asyncio.sleep(0)
    assert not task.done()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_cancelled_reservation_of_a_stream_returns_its_permit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A permit that is not given back is missing to the requests that wait for it."""
    components = MagicMock()
    failover = StreamFailover(components, MagicMock())
    monkeypatch.setattr(failover, "_find_condition", lambda **_: None)
    monkeypatch.setattr(failover, "claim_path", lambda _: PathClaim(MagicMock(), PERMIT))
    monkeypatch.setattr(failover, "_async_connect", _async_connect_forever)
    await _async_cancel(asyncio.create_task(failover.async_try_reserve(())))
    components.limiter.give_back.assert_called_once_with(PERMIT)


async def test_cancelled_reservation_of_a_call_returns_its_permit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A permit that is not given back is missing to the requests that wait for it."""
    components = MagicMock()
    handler = CallHandler(components)
    monkeypatch.setattr(handler, "_may_reserve", lambda _: True)
    monkeypatch.setattr(handler, "_async_connect", _async_connect_forever)
    claim = EndpointClaim(MagicMock(), PERMIT)
    monkeypatch.setattr(handler._endpoints, "claim", lambda *_: claim)
    call = MagicMock(excluded=set())
    await _async_cancel(asyncio.create_task(handler._async_try_reserve(call, MagicMock())))
    components.limiter.give_back.assert_called_once_with(PERMIT)
