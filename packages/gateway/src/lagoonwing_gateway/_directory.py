"""Endpoints that may get work, by service."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator

from lagoonwing_catalog.models import (
    EndpointRecord,
    EndpointState,
    Engine,
    Service,
)
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId, ServiceId
from lagoonwing_gateway._follower import CatalogFollower
from lagoonwing_gateway._suspects import Suspects
from lagoonwing_placement import Holder, HolderGroup, group_holders


class Directory:
    """Indexes the catalog's records after each change."""

    def __init__(self, follower: CatalogFollower, suspects: Suspects) -> None:
        self._follower = follower
        self._suspects = suspects
        self._ready_by_service: dict[ServiceId, list[EndpointRecord]] = {}
        self._id_by_key: dict[str, EndpointId] = {}
        self._groups_by_service: dict[ServiceId, tuple[Engine, tuple[HolderGroup, ...]]] = {}
        follower.add_listener(self._refresh)

    @callback
    def _refresh(self) -> None:
        """Index the records anew."""
        ready: dict[ServiceId, list[EndpointRecord]] = defaultdict(list)
        for record in self._follower.endpoint_by_id.values():
            if record.state is EndpointState.READY:
                ready[record.service_id].append(record)
        self._ready_by_service = ready
        self._groups_by_service.clear()
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

    def groups(self, service: Service, engine: Engine) -> tuple[HolderGroup, ...]:
        """Return the holders of a service's layers, grouped once for each state of the catalog."""
        known = self._groups_by_service.get(service.service_id)
        if known is None or known[0] is not engine:
            known = (engine, group_holders(engine, self._holders(service, engine)))
            self._groups_by_service[service.service_id] = known
        return known[1]

    def usable(self, excluded: Iterable[EndpointId]) -> Callable[[EndpointId], bool]:
        """Return a check whether an endpoint may get work."""
        shut_out = {*excluded, *self._follower.summary().suspects}

        def is_usable(endpoint_id: EndpointId) -> bool:
            return endpoint_id not in shut_out and self._suspects.is_usable(endpoint_id)

        return is_usable

    def _holders(self, service: Service, engine: Engine) -> Iterator[Holder]:
        """Yield the ready holders of a service's layers."""
        for record in self._ready_by_service.get(service.service_id, ()):
            accelerator = engine.accelerator(record.kind)
            if accelerator is None or record.layers is None:
                continue
            yield Holder(
                record.endpoint_id,
                record.failure_domain,
                accelerator,
                record.layers,
                record.slots,
            )
