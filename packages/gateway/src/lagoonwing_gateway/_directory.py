"""Endpoints that may get work, by service."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from lagoonwing_catalog.models import (
    EndpointRecord,
    EndpointState,
    Engine,
    LayerRange,
    Service,
)
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId, ServiceId
from lagoonwing_gateway._follower import CatalogFollower
from lagoonwing_gateway._pace import Pace
from lagoonwing_gateway._suspects import Suspects
from lagoonwing_placement import Holder


class Directory:
    """Indexes the catalog's records after each change."""

    def __init__(self, follower: CatalogFollower, suspects: Suspects, pace: Pace) -> None:
        self._follower = follower
        self._suspects = suspects
        self._pace = pace
        self._ready_by_service: dict[ServiceId, list[EndpointRecord]] = {}
        self._id_by_key: dict[str, EndpointId] = {}
        follower.add_listener(self._refresh)

    @callback
    def _refresh(self) -> None:
        """Index the records anew."""
        ready: dict[ServiceId, list[EndpointRecord]] = defaultdict(list)
        for record in self._follower.endpoint_by_id.values():
            if record.state is EndpointState.READY:
                ready[record.service_id].append(record)
        self._ready_by_service = ready
        self._id_by_key = {one.key: one.endpoint_id for group in ready.values() for one in group}
        self._suspects.keep_only(one for one in self._id_by_key.values())

    def record(self, endpoint_id: EndpointId) -> EndpointRecord | None:
        """Return an endpoint that may get work, if it still does."""
        record = self._follower.endpoint_by_id.get(endpoint_id)
        if record is None or record.state is not EndpointState.READY:
            return None
        return record

    def id_at(self, key: str | None) -> EndpointId | None:
        """Return the endpoint at an address and port, if it is known."""
        return None if key is None else self._id_by_key.get(key)

    def plain(self, service_id: ServiceId, excluded: Iterable[EndpointId]) -> list[EndpointRecord]:
        """Return the endpoints of a service for a call; suspected ones only for want of others."""
        shut_out = set(excluded)
        records = [
            one
            for one in self._ready_by_service.get(service_id, ())
            if one.endpoint_id not in shut_out
        ]
        suspected = set(self._follower.summary().suspects)
        good = [
            one
            for one in records
            if self._suspects.is_usable(one.endpoint_id) and one.endpoint_id not in suspected
        ]
        return good or list(records)

    def holders(
        self, service: Service, engine: Engine, excluded: Iterable[EndpointId]
    ) -> list[Holder]:
        """Return the holders of a service's layers that may get a part of a path."""
        shut_out = {*excluded, *self._follower.summary().suspects}
        holders: list[Holder] = []
        for record in self._ready_by_service.get(service.service_id, ()):
            accelerator = engine.accelerator(record.kind)
            layers = record.layers
            if engine.layer_count == 0:
                layers = LayerRange(0, 1)
            if accelerator is None or layers is None or record.endpoint_id in shut_out:
                continue
            if not self._suspects.is_usable(record.endpoint_id):
                continue
            holders.append(
                Holder(
                    record.endpoint_id,
                    record.failure_domain,
                    accelerator,
                    layers,
                    record.slots,
                    self._pace.slowness(record.endpoint_id),
                )
            )
        return holders
