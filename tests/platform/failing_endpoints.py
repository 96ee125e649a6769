"""Endpoints that fail requests while their health is good."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from enum import Enum
from typing import Any

from lagoonwing_fakes.platform import Endpoint, WorkHandler
from lagoonwing_platform.const import HEADER_SIGNATURE

_MUTE_S = 30.0


class FailureMode(Enum):
    """What a failing endpoint does with a request."""

    STATUS = "status"
    RESET = "reset"
    MUTE = "mute"


class FailingEndpoints:
    """Fails a share of the requests to some endpoints.

    Attributes:
        failed_ids: Ids of the requests that were failed, in order.
    """

    def __init__(
        self,
        endpoints: Iterable[Endpoint],
        mode: FailureMode,
        share: float = 1.0,
        seed: int = 1,
    ) -> None:
        self.failed_ids: list[str] = []
        self._mode = mode
        self._share = share
        self._rng = random.Random(seed)
        for endpoint in endpoints:
            endpoint.handler_override = self._async_handle

    async def _async_handle(self, handler: WorkHandler) -> None:
        """Fail a request, or leave it to the usual handling."""
        if self._rng.random() >= self._share:
            return
        self.failed_ids.append(handler.attempt_id)
        match self._mode:
            case FailureMode.STATUS:
                handler.set_header(HEADER_SIGNATURE, f"stamp-{handler.endpoint.endpoint_id}")
                handler.set_status(500)
                handler.finish(b"error")
            case FailureMode.RESET:
                connection: Any = handler.request.connection
                connection.stream.close()
                handler._finished = True
            case FailureMode.MUTE:
                await asyncio.sleep(_MUTE_S)
