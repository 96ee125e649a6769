"""Relays known endpoint crashes between gateways and replicas."""

from __future__ import annotations

from lagoonwing_catalog import CrashLedger
from lagoonwing_catalog.messages import CrashExtract
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_registry._ledger_relay import LedgerRelay, RelayIntervals
from lagoonwing_registry._peers import Peers
from lagoonwing_registry._subscribers import Subscribers
from lagoonwing_registry.const import CRASH_PUSH_INTERVAL_S, CRASH_REFRESH_INTERVAL_S

_INTERVALS = RelayIntervals(CRASH_PUSH_INTERVAL_S, CRASH_REFRESH_INTERVAL_S)


class CrashRelay(LedgerRelay):
    """Merges the crash ledgers of all gateways."""

    def __init__(self, subscribers: Subscribers, peers: Peers, clock: Clock) -> None:
        self._ledger = CrashLedger()
        super().__init__(
            self._ledger,
            lambda now: CrashExtract(self._ledger.extract(now)),
            _INTERVALS,
            subscribers,
            peers,
            clock,
        )

    @callback
    def merge(self, extract: CrashExtract) -> None:
        """Merge what a gateway or another replica knows."""
        self._ledger.merge(extract.entries, self._clock.now())
