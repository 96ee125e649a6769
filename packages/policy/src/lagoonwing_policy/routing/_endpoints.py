"""Endpoints that may receive new work: the known ones without planned stops."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from lagoonwing_core.ids import EndpointId, FailureDomainId
from lagoonwing_core.models import (
    EndpointRecord,
    EndpointState,
    PlannedStop,
    StopState,
    StopTarget,
)
from lagoonwing_policy.routing import const


class UsableEndpoints:
    """Endpoints and planned stops; reports when the set of usable endpoints may have changed."""

    def __init__(self) -> None:
        self._record_by_id: dict[EndpointId, EndpointRecord] = {}
        self._former_by_id: OrderedDict[EndpointId, EndpointRecord] = OrderedDict()
        self._stopped: frozenset[tuple[StopTarget, str]] = frozenset()

    def set_endpoints(self, records: Iterable[EndpointRecord]) -> bool:
        """Replace the table; return whether anything but sequence numbers has changed."""
        # The sequence number changes with each renewal and is irrelevant for routing.
        new = {
            record.endpoint_id: msgspec.structs.replace(record, sequence=0) for record in records
        }
        if new == self._record_by_id:
            return False
        for endpoint_id, record in self._record_by_id.items():
            if endpoint_id not in new:
                self._keep_former(record)
        self._record_by_id = new
        return True

    def _keep_former(self, record: EndpointRecord) -> None:
        """Keep the record of a removed endpoint: running requests may have to replace it."""
        self._former_by_id.pop(record.endpoint_id, None)
        self._former_by_id[record.endpoint_id] = record
        if len(self._former_by_id) > const.MAX_FORMER_ENDPOINTS:
            self._former_by_id.popitem(last=False)

    def former(self, endpoint_id: EndpointId) -> EndpointRecord | None:
        """Return the last record of a removed endpoint."""
        return self._former_by_id.get(endpoint_id)

    def set_stops(self, stops: Iterable[PlannedStop]) -> bool:
        """Replace the planned stops; return whether their targets have changed."""
        stopped = frozenset(
            (stop.target, stop.target_id) for stop in stops if stop.state is not StopState.CANCELLED
        )
        if stopped == self._stopped:
            return False
        self._stopped = stopped
        return True

    def usable(self) -> list[EndpointRecord]:
        """Return the endpoints that may receive new work, sorted by id."""
        return [
            self._record_by_id[endpoint_id]
            for endpoint_id in sorted(self._record_by_id)
            if self._is_usable(self._record_by_id[endpoint_id])
        ]

    def current(self, endpoint_id: EndpointId) -> EndpointRecord | None:
        """Return the current record of an endpoint, including endpoints with a planned stop."""
        return self._record_by_id.get(endpoint_id)

    def _is_usable(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint is neither leaving nor the target of a planned stop."""
        if record.state is EndpointState.LEAVING:
            return False
        targets = {
            (StopTarget.ENDPOINT, record.endpoint_id),
            (StopTarget.FAILURE_DOMAIN, record.failure_domain),
            (StopTarget.HOST, record.address),
        }
        return self._stopped.isdisjoint(targets)

    def layers_of(self, endpoint_id: EndpointId) -> tuple[int, int] | None:
        """Return the layers of a current or former endpoint."""
        record = self.current(endpoint_id) or self.former(endpoint_id)
        if record is None or record.layers is None:
            return None
        return record.layers.first, record.layers.end

    def domain_of(self, endpoint_id: EndpointId) -> FailureDomainId | None:
        """Return the failure domain of a current or former endpoint."""
        record = self.current(endpoint_id) or self.former(endpoint_id)
        return None if record is None else record.failure_domain
