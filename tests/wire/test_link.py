"""Reconnecting links to peers that are still starting."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

import pytest
from tornado.iostream import IOStream

from lagoonwing_core.ids import HostId
from lagoonwing_wire import Handlers, Identity, Link
from lagoonwing_wire.control_messages import CONTROL_DECODER

# Initial TCP retransmission timeout of a lost SYN (RFC 6298).
INITIAL_SYN_TIMEOUT_S = 1.0


@pytest.mark.looptime
async def test_connect_is_retried_before_tcp_retransmits_a_lost_syn() -> None:
    """A peer whose host is still off at the first attempt is reached soon after it is up.

    The first SYN is lost; waiting for its retransmission would delay the connection by a second.
    """
    loop = asyncio.get_running_loop()
    attempt_times: list[float] = []
    second_attempt = asyncio.Event()

    async def async_connect(*args: object, **kwargs: object) -> None:
        attempt_times.append(loop.time())
        if len(attempt_times) == 2:
            second_attempt.set()
        await asyncio.Event().wait()

    handlers = Handlers(
        decoder=CONTROL_DECODER,
        on_push=lambda channel, message: None,
        async_on_call=async_connect,
        on_closed=lambda channel: None,
    )
    link = Link(Identity(HostId("a"), b"k" * 32), "127.0.0.1", 1, "control", handlers)
    with patch.object(IOStream, "connect", async_connect):
        await link.async_setup()
        await second_attempt.wait()
        await link.async_unload()
    assert attempt_times[1] - attempt_times[0] < INITIAL_SYN_TIMEOUT_S
