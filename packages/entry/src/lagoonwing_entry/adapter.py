"""Interface for requests to endpoints, independent of their wire protocol."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import Protocol

import msgspec

from lagoonwing_entry.models import (
    CacheEvent,
    CompletionDispatch,
    DispatchId,
    DispatchTarget,
    LoadReport,
    ServiceCallRequest,
    ServiceResponse,
    StageReplay,
    StageStep,
    TokenBatch,
)


class EndpointAdapter(Protocol):
    """Requests to endpoints.

    Every request raises `DispatchError` unless it receives a complete response that echoes the
    dispatch id. A request that ends or is cancelled before then closes its connection.
    """

    name: str

    async def async_setup(self) -> None:
        """Start the adapter."""

    async def async_unload(self) -> None:
        """Close every connection."""

    def tokens(
        self, target: DispatchTarget, completion: CompletionDispatch
    ) -> AsyncGenerator[TokenBatch, None]:
        """Stream a completion from a whole-model endpoint; the last batch has a finish reason."""

    async def async_step(self, target: DispatchTarget, step: StageStep) -> msgspec.Raw:
        """Run a stage's layers for one token and return the resulting state."""

    async def async_replay(self, target: DispatchTarget, replay: StageReplay) -> None:
        """Rebuild a stage's KV cache."""

    async def async_export(
        self, target: DispatchTarget, dispatch_id: DispatchId, token: int
    ) -> msgspec.Raw:
        """Export a stage's KV cache up to a token and fence lower attempts on that stage."""

    async def async_import(
        self, target: DispatchTarget, replay: StageReplay, cache: msgspec.Raw
    ) -> None:
        """Import a KV cache exported from another stage."""

    async def async_close_stage(
        self, target: DispatchTarget, dispatch_id: DispatchId, token: int
    ) -> None:
        """Release a stage's KV cache of a request that has ended."""

    async def async_load(self, target: DispatchTarget) -> LoadReport:
        """Return an endpoint's load report."""

    async def async_cache_events(
        self, target: DispatchTarget, after: int
    ) -> tuple[CacheEvent, ...]:
        """Return an endpoint's prefix cache events after the given number."""

    async def async_call_service(
        self, target: DispatchTarget, dispatch_id: DispatchId, call: ServiceCallRequest, fresh: bool
    ) -> ServiceResponse:
        """Run one service call; `fresh` requires a connection that has not been used before."""
