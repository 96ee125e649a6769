"""The one place that knows how endpoints speak."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import Protocol

import msgspec

from lagoonwing_entry.models import (
    CacheEvent,
    CompletionCall,
    DispatchId,
    LoadReport,
    ServiceAnswer,
    ServiceCallBody,
    StageReplay,
    StageStep,
    Target,
    TokenBatch,
)


class EndpointAdapter(Protocol):
    """Calls to endpoints.

    Every call raises `DispatchError` unless a whole answer came that echoes its dispatch. An
    ended or cancelled call closes its connection unless the answer was whole.
    """

    name: str

    async def async_setup(self) -> None:
        """Start the adapter."""

    async def async_unload(self) -> None:
        """Close every connection."""

    def tokens(
        self, target: Target, completion: CompletionCall
    ) -> AsyncGenerator[TokenBatch, None]:
        """Run a completion on a whole-model endpoint; the last batch has a finish reason."""

    async def async_step(self, target: Target, step: StageStep) -> msgspec.Raw:
        """Run a stage's layers for one token and return its state."""

    async def async_replay(self, target: Target, replay: StageReplay) -> None:
        """Rebuild a stage's KV cache."""

    async def async_export(
        self, target: Target, dispatch_id: DispatchId, token: int
    ) -> msgspec.Raw:
        """Take a stage's KV cache up to a token and fence lower attempts there."""

    async def async_import(self, target: Target, replay: StageReplay, cache: msgspec.Raw) -> None:
        """Give a stage a KV cache taken from another."""

    async def async_close_stage(self, target: Target, dispatch_id: DispatchId, token: int) -> None:
        """Let a stage drop the KV cache of a request that has ended."""

    async def async_load(self, target: Target) -> LoadReport:
        """Ask for an endpoint's load."""

    async def async_cache_events(self, target: Target, after: int) -> tuple[CacheEvent, ...]:
        """Ask for the changes of an endpoint's prefix cache after a number."""

    async def async_call_service(
        self, target: Target, dispatch_id: DispatchId, call: ServiceCallBody, fresh: bool
    ) -> ServiceAnswer:
        """Run one plain call; `fresh` asks for a connection that carried nothing before."""
