"""Work that other gateways are likely to have begun since they reported last.

Answers the load of many gateways that learn of one loss in the same moment: each sends its streams
to the endpoints and over the pipes that look free, which all others see as well.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import Generic, TypeVar

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway.const import OTHERS_PIPE_SHARE, OTHERS_READ_SHARE
from lagoonwing_placement import Backlogs, DomainLink, Path

_KeyT = TypeVar("_KeyT", bound=Hashable)


class Forecast:
    """Takes the own choices for a sample of those of all gateways."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reads: _Draining[EndpointId] = _Draining()
        self._pipes: _Draining[DomainLink] = _Draining()

    @callback
    def note(
        self,
        path: Path,
        prefill_ms_by_id: Mapping[EndpointId, float],
        transfer_ms: float,
        gateways: int,
    ) -> None:
        """Take note of a request that is about to be sent.

        Args:
            path: Its path.
            prefill_ms_by_id: Prefill time of the prompt at each endpoint of the path.
            transfer_ms: Transfer time of the prompt activations over each link of the path.
            gateways: Gateways that serve callers, this one included.
        """
        now = self._clock.now()
        others = max(0, gateways - 1)
        for endpoint_id, prefill_ms in prefill_ms_by_id.items():
            self._reads.add(endpoint_id, prefill_ms * others * OTHERS_READ_SHARE, now)
        for pipe in path.links:
            self._pipes.add(pipe, transfer_ms * (1.0 + others * OTHERS_PIPE_SHARE), now)

    def backlogs(self) -> Backlogs:
        """Return what is expected to wait now."""
        now = self._clock.now()
        return Backlogs(self._reads.left(now), self._pipes.left(now))


class _Draining(Generic[_KeyT]):
    """Amounts of work, each done at the pace of time."""

    def __init__(self) -> None:
        self._done_at_by_key: dict[_KeyT, float] = {}

    def add(self, key: _KeyT, work_ms: float, now: float) -> None:
        """Add work to what is left."""
        begin = max(now, self._done_at_by_key.get(key, now))
        self._done_at_by_key[key] = begin + work_ms / 1_000

    def left(self, now: float) -> dict[_KeyT, float]:
        """Return the milliseconds of work left, and forget what is done."""
        self._done_at_by_key = {key: at for key, at in self._done_at_by_key.items() if at > now}
        return {key: (at - now) * 1_000 for key, at in self._done_at_by_key.items()}
