"""Lookup table of the endpoints known to this host."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonwing_core.ids import EndpointId, ModelId, ServiceId
from lagoonwing_core.models import EndpointKind, EndpointRecord
from lagoonwing_policy.models import RouteStage


class EndpointDirectory:
    """Current endpoint records, and all models and services announced since the process started."""

    def __init__(self) -> None:
        self._record_by_id: dict[EndpointId, EndpointRecord] = {}
        self._seen_models: set[ModelId] = set()
        self._seen_services: set[ServiceId] = set()

    def replace(self, records: Iterable[EndpointRecord]) -> None:
        """Replace the records with those eligible for new work."""
        self._record_by_id = {record.endpoint_id: record for record in records}
        for record in self._record_by_id.values():
            self._seen_models.update(record.models)
            if record.service is not None:
                self._seen_services.add(record.service)

    def record_of(self, stage: RouteStage) -> EndpointRecord | None:
        """Return the record of the selected process, if it is still known."""
        record = self._record_by_id.get(stage.endpoint_id)
        if record is None or record.incarnation != stage.incarnation:
            return None
        return record

    def records(self) -> tuple[EndpointRecord, ...]:
        """Return every current record."""
        return tuple(self._record_by_id.values())

    def models(self) -> list[ModelId]:
        """Return the models that endpoints currently serve."""
        models = {
            model
            for record in self._record_by_id.values()
            if record.kind is not EndpointKind.SERVICE
            for model in record.models
        }
        return sorted(models)

    def knows_model(self, model_id: ModelId) -> bool:
        """Return whether any endpoint has served the model since the process started."""
        return model_id in self._seen_models

    def knows_service(self, service_id: ServiceId) -> bool:
        """Return whether any endpoint has offered the service since the process started."""
        return service_id in self._seen_services

    def is_idempotent(self, service_id: ServiceId, method: str, path: str) -> bool:
        """Return whether all endpoints of a service, any of which may get it, say so of a call."""
        records = [item for item in self._record_by_id.values() if item.service == service_id]
        return bool(records) and all(
            _announces_idempotent(record, method, path) for record in records
        )


def _announces_idempotent(record: EndpointRecord, method: str, path: str) -> bool:
    """Return whether an endpoint announces a call, and only as idempotent."""
    announced = [call for call in record.calls if call.method == method and call.path == path]
    return bool(announced) and all(call.idempotent for call in announced)
