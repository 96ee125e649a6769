"""Expected backlog of the links between failure domains, which all gateways share."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_gateway.const import (
    EXPLAINED_TRANSFERS_S,
    MAX_EXPLAINED_TRANSFERS_S,
    OWN_SAMPLE_SHARE,
)
from lagoonwing_placement import DomainLink
from lagoonwing_placement.const import MAX_LINK_BACKLOG_MS

# Above the limit by so little that the link takes paths again soon after the others stop.
_MAX_REPORTED_BACKLOG_MS = 1.1 * MAX_LINK_BACKLOG_MS


@dataclass(slots=True)
class _LinkState:
    """Backlog of one link.

    Attributes:
        explained_ms: Transfers of others, added as reported, that own starts still have to show.
    """

    updated_at: float
    explained_ms: float
    backlog_ms: float = 0.0


class LinkBacklogs:
    """Queues of transfers that drain in real time.

    Own transfers are known. Those of the others arrive at the reported rate, and as own starts
    show: where this gateway sends more than the reported rate explains, so do the others, since all
    turn to the same few links at once after a loss.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._state_by_link: dict[DomainLink, _LinkState] = {}

    @callback
    def record_transfer(
        self,
        link: DomainLink,
        transfer_ms: float,
        gateways: int,
        reported_by_link: Mapping[DomainLink, float],
    ) -> None:
        """Record a transfer of this gateway.

        Args:
            link: Link that the transfer uses.
            transfer_ms: Duration of the transfer.
            gateways: Number of gateways, including this one.
            reported_by_link: Transfer time that the others start per second, in milliseconds.
        """
        rate = reported_by_link.get(link, 0.0)
        others_ms = transfer_ms * max(0, gateways - 1) * OWN_SAMPLE_SHARE
        state = self._advance(link, rate)
        # One own start is no evidence of a change if such starts are due within some seconds.
        limit_ms = max(rate * EXPLAINED_TRANSFERS_S, others_ms)
        explained_ms = min(state.explained_ms, limit_ms)
        state.explained_ms = max(0.0, explained_ms - others_ms)
        state.backlog_ms += transfer_ms + max(0.0, others_ms - explained_ms)

    def remaining_ms(self, reported_by_link: Mapping[DomainLink, float]) -> dict[DomainLink, float]:
        """Return the expected backlog of each link that has one."""
        remaining: dict[DomainLink, float] = {}
        for link in [*self._state_by_link.keys() | reported_by_link.keys()]:
            rate = reported_by_link.get(link, 0.0)
            state = self._advance(link, rate)
            if state.backlog_ms > 0.0:
                remaining[link] = state.backlog_ms
            elif rate == 0.0:
                del self._state_by_link[link]
        return remaining

    def _advance(self, link: DomainLink, rate: float) -> _LinkState:
        """Apply the time since the last update: a link drains a second of transfers a second."""
        now = self._clock.now()
        max_explained_ms = rate * MAX_EXPLAINED_TRANSFERS_S
        state = self._state_by_link.get(link)
        if state is None:
            state = self._state_by_link[link] = _LinkState(now, max_explained_ms)
        seconds = now - state.updated_at
        state.updated_at = now
        arrived_ms = 0.0
        if state.backlog_ms <= MAX_LINK_BACKLOG_MS:
            # Above it, the others send nothing either.
            arrived_ms = rate * seconds
        lifted_ms = max(state.backlog_ms, _MAX_REPORTED_BACKLOG_MS)
        state.backlog_ms = max(0.0, state.backlog_ms + arrived_ms - seconds * 1_000)
        state.backlog_ms = min(state.backlog_ms, lifted_ms)
        state.explained_ms = min(state.explained_ms + arrived_ms, max_explained_ms)
        return state
