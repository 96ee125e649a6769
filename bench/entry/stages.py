"""Endpoint records and adapter for the pipeline benchmark."""

from __future__ import annotations

from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import EndpointId, FailureDomainId, Incarnation, ModelId
from lagoonwing_core.models import EndpointKind, EndpointRecord, EndpointState, LayerRange
from lagoonwing_entry import AdapterSettings, HttpEndpointAdapter


def adapter() -> HttpEndpointAdapter:
    """Return the endpoint adapter of the entry host."""
    return HttpEndpointAdapter(AdapterSettings(), LoopClock())


def stage_record(name: str, address: str, port: int, layers: LayerRange) -> EndpointRecord:
    """Return the record of a stage."""
    return EndpointRecord(
        endpoint_id=EndpointId(name),
        incarnation=Incarnation(1),
        sequence=1,
        state=EndpointState.SERVING,
        kind=EndpointKind.STAGE,
        address=address,
        port=port,
        failure_domain=FailureDomainId("a"),
        models=(ModelId("m"),),
        layers=layers,
        layer_count=12,
    )
