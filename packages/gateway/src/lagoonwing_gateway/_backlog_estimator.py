"""Estimate of work that other gateways have started since their last load report.

When many gateways learn of a lost endpoint at the same time, all of them see the same idle
endpoints and links and would move their streams to these at once.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import Generic, TypeVar

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway.const import OTHER_GATEWAYS_LINK_SHARE, OTHER_GATEWAYS_PREFILL_SHARE
from lagoonwing_placement import Backlogs, DomainLink, Path

_KeyT = TypeVar("_KeyT", bound=Hashable)


class BacklogEstimator:
    """Extrapolates the work started by other gateways from this gateway's own requests."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._prefill: _DrainingWork[EndpointId] = _DrainingWork()
        self._transfers: _DrainingWork[DomainLink] = _DrainingWork()

    @callback
    def record_request(
        self,
        path: Path,
        prefill_ms_by_id: Mapping[EndpointId, float],
        transfer_ms: float,
        gateways: int,
    ) -> None:
        """Record a request that is about to be sent.

        Args:
            path: Path of the request.
            prefill_ms_by_id: Prefill time of the prompt at each endpoint of the path.
            transfer_ms: Transfer time of the prompt activations over each link of the path.
            gateways: Number of gateways, including this one.
        """
        now = self._clock.now()
        other_gateways = max(0, gateways - 1)
        for endpoint_id, prefill_ms in prefill_ms_by_id.items():
            self._prefill.add(
                endpoint_id, prefill_ms * other_gateways * OTHER_GATEWAYS_PREFILL_SHARE, now
            )
        for link in path.links:
            self._transfers.add(
                link, transfer_ms * (1.0 + other_gateways * OTHER_GATEWAYS_LINK_SHARE), now
            )

    def backlogs(self) -> Backlogs:
        """Return the current estimates."""
        now = self._clock.now()
        return Backlogs(self._prefill.remaining_ms(now), self._transfers.remaining_ms(now))


class _DrainingWork(Generic[_KeyT]):
    """Queues of work that drain in real time."""

    def __init__(self) -> None:
        self._done_at_by_key: dict[_KeyT, float] = {}

    def add(self, key: _KeyT, work_ms: float, now: float) -> None:
        """Add work to the queue of a key."""
        start = max(now, self._done_at_by_key.get(key, now))
        self._done_at_by_key[key] = start + work_ms / 1_000

    def remaining_ms(self, now: float) -> dict[_KeyT, float]:
        """Return the remaining milliseconds of work by key; drop empty queues."""
        self._done_at_by_key = {
            key: done_at for key, done_at in self._done_at_by_key.items() if done_at > now
        }
        return {key: (done_at - now) * 1_000 for key, done_at in self._done_at_by_key.items()}
