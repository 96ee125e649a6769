"""Services of the active document, and announcements that name none of them."""

from __future__ import annotations

from lagoonwing_catalog import CatalogStateMachine, decompress_document, may_hold_address
from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.ids import DocumentVersion, ServiceId


class KnownServices:
    """Tells which announcements would take the place of a sound endpoint."""

    def __init__(self, state_machine: CatalogStateMachine) -> None:
        self._state_machine = state_machine
        self._version: DocumentVersion | None = None
        self._service_ids: frozenset[ServiceId] = frozenset()

    def find_displaced(self, record: EndpointRecord) -> EndpointRecord | None:
        """Return the endpoint of a known service whose id or address a record of none has."""
        service_ids = self._refreshed_service_ids()
        if not service_ids or record.service_id in service_ids:
            return None
        for other in self._state_machine.state.endpoint_by_id.values():
            is_same = other.endpoint_id == record.endpoint_id
            if not is_same and other.socket_address != record.socket_address:
                continue
            if other.service_id in service_ids and may_hold_address(other):
                return other
        return None

    def _refreshed_service_ids(self) -> frozenset[ServiceId]:
        """Return the services of the active document; none before the first one."""
        stored = self._state_machine.state.stored
        if stored is not None and stored.version != self._version:
            services = decompress_document(stored.compressed_document).services
            self._service_ids = frozenset(service.service_id for service in services)
            self._version = stored.version
        return self._service_ids
