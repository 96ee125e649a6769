"""Relays the limits that endpoints named between gateways and replicas."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from lagoonwing_catalog import CatalogStateMachine, LimitLedger
from lagoonwing_catalog.messages import LimitExtract
from lagoonwing_catalog.models import EndpointState
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId, ServiceId
from lagoonwing_registry._ledger_relay import LedgerRelay, RelayIntervals
from lagoonwing_registry._peers import Peers
from lagoonwing_registry._permit_issuer import LimitedEndpoint
from lagoonwing_registry._subscribers import Subscribers
from lagoonwing_registry.const import LIMIT_PUSH_INTERVAL_S, LIMIT_REFRESH_INTERVAL_S

_INTERVALS = RelayIntervals(LIMIT_PUSH_INTERVAL_S, LIMIT_REFRESH_INTERVAL_S)


class LimitRelay(LedgerRelay):
    """Merges the limits that all gateways have seen."""

    def __init__(
        self,
        state_machine: CatalogStateMachine,
        subscribers: Subscribers,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._state_machine = state_machine
        self._ledger = LimitLedger()
        super().__init__(self._ledger, self._ledger.extract, _INTERVALS, subscribers, peers, clock)

    @callback
    def merge(self, extract: LimitExtract) -> None:
        """Merge what a gateway or another replica knows."""
        self._ledger.merge(extract, self._clock.now())
        self._ledger.discard_gone(self._state_machine.state.endpoint_by_id)

    def limited_by_service(
        self, suspects: Iterable[EndpointId]
    ) -> dict[ServiceId, list[LimitedEndpoint]]:
        """Return the limited endpoints at which requests may enter, by service."""
        unusable = set(suspects)
        record_by_id = self._state_machine.state.endpoint_by_id
        limited: defaultdict[ServiceId, list[LimitedEndpoint]] = defaultdict(list)
        for endpoint_id, rate in self._ledger.rate_by_id(record_by_id).items():
            record = record_by_id[endpoint_id]
            is_ready = record.state is EndpointState.READY and record.is_entry
            if endpoint_id in unusable or not is_ready:
                continue
            endpoint = LimitedEndpoint(endpoint_id, record.failure_domain, rate)
            limited[record.service_id].append(endpoint)
        return limited
