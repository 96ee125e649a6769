"""Endpoints that may get requests, by service."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_catalog.models import (
    EndpointRecord,
    EndpointState,
    Engine,
    Service,
)
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId, ServiceId
from lagoonwing_gateway._entry_choice import EntryCheck, entry_checks, failing_domains
from lagoonwing_gateway._follower import CatalogFollower
from lagoonwing_gateway._holder_classes import HolderClass, classify_holders
from lagoonwing_gateway._last_holders import last_holders
from lagoonwing_gateway._plain_service import PLAIN_ENGINE, plain_holder
from lagoonwing_gateway._suspicions import SuspicionTracker
from lagoonwing_gateway.const import FAILURE_WINDOW_S, MAX_REPORTED_SHARE, OWN_PROGRESS_S
from lagoonwing_gateway.models import RequestFailure
from lagoonwing_placement import Holder, HolderGroup, group_holders


def _is_always_true(endpoint_id: EndpointId) -> bool:
    """Return True, for endpoints that say nothing of themselves."""
    return True


class EndpointDirectory:
    """Index of the catalog's endpoint records, rebuilt after each change."""

    def __init__(
        self,
        follower: CatalogFollower,
        suspicions: SuspicionTracker,
        clock: Clock,
        may_send: Callable[[EndpointId], bool] = _is_always_true,
    ) -> None:
        """Create the index.

        Args:
            follower: Catalog with the records.
            suspicions: Endpoints that failed lately.
            clock: Time source.
            may_send: Returns whether an endpoint takes requests now, by what it says of itself.
        """
        self._follower = follower
        self._suspicions = suspicions
        self._clock = clock
        self._may_send = may_send
        self._ready_by_service: dict[ServiceId, list[EndpointRecord]] = {}
        self._entry_ids_by_service: dict[ServiceId, tuple[EndpointId, ...]] = {}
        self._id_by_address: dict[str, EndpointId] = {}
        self._ids_by_service: tuple[tuple[EndpointId, ...], ...] = ()
        self._groups_by_service: dict[ServiceId, tuple[Engine, tuple[HolderGroup, ...]]] = {}
        self._classes_by_service: dict[ServiceId, tuple[HolderClass, ...]] = {}
        self._missing_by_service: dict[ServiceId, int] = {}
        follower.add_listener(self._refresh)

    @callback
    def _refresh(self) -> None:
        """Rebuild the index."""
        ready: dict[ServiceId, list[EndpointRecord]] = defaultdict(list)
        for record in self._follower.endpoint_by_id.values():
            if record.state is EndpointState.READY:
                ready[record.service_id].append(record)
        self._ready_by_service = ready
        self._entry_ids_by_service = {
            service_id: tuple(record.endpoint_id for record in records if record.is_entry)
            for service_id, records in ready.items()
        }
        self._ids_by_service = tuple(
            tuple(record.endpoint_id for record in records) for records in ready.values()
        )
        self._groups_by_service.clear()
        self._classes_by_service.clear()
        self._missing_by_service.clear()
        self._id_by_address = {
            record.socket_address: record.endpoint_id
            for group in ready.values()
            for record in group
        }
        self._suspicions.retain_only(endpoint_id for endpoint_id in self._id_by_address.values())

    def service(self, service_id: ServiceId) -> Service | None:
        """Return a service of the document in force."""
        routes = self._follower.routes
        return None if routes is None else routes.service_by_id.get(service_id)

    def record(self, endpoint_id: EndpointId) -> EndpointRecord | None:
        """Return the record of an endpoint if it is ready."""
        record = self._follower.endpoint_by_id.get(endpoint_id)
        if record is None or record.state is not EndpointState.READY:
            return None
        return record

    def has_crashed(self, record: EndpointRecord) -> bool:
        """Return whether an incarnation that is gone has crashed; it did not announce its end."""
        current = self._follower.endpoint_by_id.get(record.endpoint_id)
        if current is None or current.started_ms != record.started_ms:
            return True
        return current.state in (EndpointState.READY, EndpointState.LOST)

    def id_at_address(self, address: str | None) -> EndpointId | None:
        """Return the id of the endpoint at an address and port, if known."""
        return None if address is None else self._id_by_address.get(address)

    def entry_ids(self, service_id: ServiceId) -> tuple[EndpointId, ...]:
        """Return the endpoints at which requests may enter: those that hold the first layer."""
        return self._entry_ids_by_service.get(service_id, ())

    def ids_of_service(self, service_id: ServiceId) -> tuple[EndpointId, ...]:
        """Return the ready endpoints of a service."""
        return tuple(record.endpoint_id for record in self._ready_by_service.get(service_id, ()))

    def without_services(
        self, load_by_id: Mapping[EndpointId, EndpointLoad], service_ids: Collection[ServiceId]
    ) -> dict[EndpointId, EndpointLoad]:
        """Return the loads of the endpoints of all other services."""
        left_out = {
            endpoint_id
            for service_id in service_ids
            for endpoint_id in self.ids_of_service(service_id)
        }
        return {
            endpoint_id: load
            for endpoint_id, load in load_by_id.items()
            if endpoint_id not in left_out
        }

    def ids_by_service(self) -> Collection[Collection[EndpointId]]:
        """Return the ready endpoints of each service."""
        return self._ids_by_service

    def call_endpoints(
        self, service_id: ServiceId, excluded: Iterable[EndpointId]
    ) -> list[EndpointRecord]:
        """Return the endpoints for a call; suspected ones only if there are no others."""
        unusable = set(excluded)
        records = [
            record
            for record in self._ready_by_service.get(service_id, ())
            if record.endpoint_id not in unusable and self._may_send(record.endpoint_id)
        ]
        suspected = self._suspected_elsewhere()
        unsuspected = [
            record
            for record in records
            if self._suspicions.is_usable(record.endpoint_id)
            and record.endpoint_id not in suspected
        ]
        return unsuspected or list(records)

    def may_send(self, endpoint_id: EndpointId) -> bool:
        """Return whether an endpoint takes requests now, by what it says of itself."""
        return self._may_send(endpoint_id)

    def holder_groups(self, service: Service, engine: Engine) -> tuple[HolderGroup, ...]:
        """Return the holders of a service's layers in groups, cached until the catalog changes."""
        cached = self._groups_by_service.get(service.service_id)
        if cached is None or cached[0] is not engine:
            cached = (engine, group_holders(engine, self._holders(service, engine)))
            self._groups_by_service[service.service_id] = cached
            self._classes_by_service.pop(service.service_id, None)
            self._missing_by_service.pop(service.service_id, None)
        return cached[1]

    def missing_layers(self, service: Service, engine: Engine) -> int:
        """Return the number of layers that no ready endpoint holds, cached like the groups."""
        groups = self.holder_groups(service, engine)
        missing = self._missing_by_service.get(service.service_id)
        if missing is None:
            held = {
                layer for group in groups for layer in range(group.layers.first, group.layers.end)
            }
            missing = engine.layer_count - len(held)
            self._missing_by_service[service.service_id] = missing
        return missing

    def holder_classes(self, service: Service, engine: Engine) -> tuple[HolderClass, ...]:
        """Return the holders of a service's layers by layers, cached like the groups."""
        groups = self.holder_groups(service, engine)
        classes = self._classes_by_service.get(service.service_id)
        if classes is None:
            classes = classify_holders(engine, groups)
            self._classes_by_service[service.service_id] = classes
        return classes

    def usability_check(
        self, groups: Iterable[HolderGroup], excluded: Iterable[EndpointId]
    ) -> Callable[[EndpointId], bool]:
        """Return a predicate that checks whether an endpoint may get requests.

        Endpoints that fail requests are used while nothing else holds their layers.
        """
        excluded_ids = set(excluded)
        unusable = excluded_ids | self._suspected_elsewhere()

        def is_usable(endpoint_id: EndpointId) -> bool:
            if endpoint_id in unusable or not self._may_send(endpoint_id):
                return False
            return self._suspicions.is_usable(endpoint_id)

        def is_last_resort(endpoint_id: EndpointId) -> bool:
            if endpoint_id in excluded_ids or not self._may_send(endpoint_id):
                return False
            return self._suspicions.is_last_resort(endpoint_id)

        last_ids = last_holders(groups, is_usable, is_last_resort)
        if not last_ids:
            return is_usable
        return lambda endpoint_id: endpoint_id in last_ids or is_usable(endpoint_id)

    def entry_checks(
        self,
        service_id: ServiceId,
        failures: Iterable[RequestFailure],
        may_enter: EntryCheck,
    ) -> Iterator[EntryCheck]:
        """Return conditions for the entry of a request, the preferred one first.

        Args:
            service_id: Service of the request.
            failures: Endpoints that have failed the request.
            may_enter: Returns whether an endpoint may get the request at all.
        """
        entries = [self.record(endpoint_id) for endpoint_id in self.entry_ids(service_id)]
        failed = [self.record(failure.endpoint_id) for failure in failures]
        domains = failing_domains(filter(None, entries), self._suspicions)
        domains.update(record.failure_domain for record in filter(None, failed))
        return entry_checks(self.record, self._suspicions, domains, may_enter)

    def reported_suspects(
        self, withheld: Collection[ServiceId] = frozenset()
    ) -> tuple[EndpointId, ...]:
        """Return the suspected endpoints of which other gateways are told.

        Args:
            withheld: Services that this gateway may not reach: what it knows of their endpoints
                says more about its own network.
        """
        failing_by_service: dict[ServiceId, list[EndpointId]] = defaultdict(list)
        reported: list[EndpointId] = []
        for endpoint_id in self._suspicions.suspected():
            record = self.record(endpoint_id)
            if record is not None and record.service_id in withheld:
                continue
            if record is None or not self._suspicions.is_last_resort(endpoint_id):
                reported.append(endpoint_id)
            else:
                failing_by_service[record.service_id].append(endpoint_id)
        for service_id, failing_ids in failing_by_service.items():
            endpoint_count = len(self._ready_by_service[service_id])
            if len(failing_ids) <= max(1.0, MAX_REPORTED_SHARE * endpoint_count):
                reported.extend(failing_ids)
        return tuple(reported)

    @property
    def told_suspects(self) -> int:
        """Number of endpoints that are avoided because other gateways suspect them."""
        return len(self._suspected_elsewhere())

    def _suspected_elsewhere(self) -> set[EndpointId]:
        """Return the endpoints that other gateways suspect and that make no progress here."""
        now = self._clock.now()
        suspects = self._follower.load_summary().suspects
        silent_ids = self._suspicions.without_progress_since(suspects, now - OWN_PROGRESS_S)
        # Streams that go on show nothing about the next request if the last one failed here too.
        failed_ids = (
            endpoint_id
            for endpoint_id in suspects
            if self._suspicions.has_failed_since(endpoint_id, now - FAILURE_WINDOW_S)
        )
        return {*silent_ids, *failed_ids}

    def _holders(self, service: Service, engine: Engine) -> Iterator[Holder]:
        """Yield the ready holders of a service's layers."""
        for record in self._ready_by_service.get(service.service_id, ()):
            if engine is PLAIN_ENGINE:
                yield plain_holder(record)
                continue
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
