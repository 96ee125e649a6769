"""Load of endpoints: exact for this gateway's requests, as reported for other gateways."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId
from lagoonwing_placement import Path, RequestSize

_NO_LOAD = EndpointLoad(0, 0, 0)


@dataclass(slots=True)
class _LocalLoad:
    """Load of this gateway at one endpoint."""

    sequences: int = 0
    kv_token_layers: int = 0
    prefill_ms: float = 0.0


@dataclass(slots=True)
class Reservation:
    """Load that one request adds to the endpoints of its path until it ends.

    Attributes:
        prefill_ms_by_id: Prefill time at each endpoint; empty once prefill is complete.
    """

    path: Path
    size: RequestSize
    prefill_ms_by_id: dict[EndpointId, float]


class LoadTracker:
    """Sums up reservations by endpoint."""

    def __init__(self, on_freed: Callable[[], None] = lambda: None) -> None:
        """Create an empty tracker.

        Args:
            on_freed: Called when a request no longer takes up capacity.
        """
        self._on_freed = on_freed
        self._local_by_id: dict[EndpointId, _LocalLoad] = {}
        self._calls_by_id: dict[EndpointId, int] = {}

    @callback
    def reserve(
        self, path: Path, size: RequestSize, prefill_ms_by_id: dict[EndpointId, float]
    ) -> Reservation:
        """Add a request to the load of every endpoint on its path."""
        for segment in path.segments:
            local = self._local_by_id.setdefault(segment.endpoint_id, _LocalLoad())
            local.sequences += 1
            local.kv_token_layers += size.tokens * segment.layers.count
            local.prefill_ms += prefill_ms_by_id[segment.endpoint_id]
        return Reservation(path, size, prefill_ms_by_id)

    @callback
    def complete_prefill(self, reservation: Reservation) -> None:
        """Remove the prefill time of a request that has received its first token."""
        for endpoint_id, prefill_ms in reservation.prefill_ms_by_id.items():
            self._local_by_id[endpoint_id].prefill_ms -= prefill_ms
        if reservation.prefill_ms_by_id:
            reservation.prefill_ms_by_id = {}
            self._on_freed()

    @callback
    def release(self, reservation: Reservation) -> None:
        """Remove a request from the load of its endpoints."""
        self.complete_prefill(reservation)
        for segment in reservation.path.segments:
            local = self._local_by_id[segment.endpoint_id]
            local.sequences -= 1
            local.kv_token_layers -= reservation.size.tokens * segment.layers.count
            if local.sequences == 0:
                del self._local_by_id[segment.endpoint_id]
        self._on_freed()

    @callback
    def begin_call(self, endpoint_id: EndpointId) -> None:
        """Add a call to the load of an endpoint."""
        self._calls_by_id[endpoint_id] = self._calls_by_id.get(endpoint_id, 0) + 1

    @callback
    def end_call(self, endpoint_id: EndpointId) -> None:
        """Remove a call from the load of an endpoint."""
        self._calls_by_id[endpoint_id] -= 1
        if self._calls_by_id[endpoint_id] == 0:
            del self._calls_by_id[endpoint_id]
        self._on_freed()

    def local_loads(self) -> dict[EndpointId, EndpointLoad]:
        """Return the load of this gateway by endpoint."""
        loads = {
            endpoint_id: EndpointLoad(
                local.sequences, local.kv_token_layers, max(0, round(local.prefill_ms))
            )
            for endpoint_id, local in self._local_by_id.items()
        }
        for endpoint_id, call_count in self._calls_by_id.items():
            streams = loads.get(endpoint_id, _NO_LOAD)
            loads[endpoint_id] = EndpointLoad(
                streams.sequences + call_count, streams.kv_token_layers, streams.prefill_ms
            )
        return loads

    def loads(
        self, remote_loads: Mapping[EndpointId, EndpointLoad]
    ) -> dict[EndpointId, EndpointLoad]:
        """Return the load of all gateways by endpoint."""
        total = dict(remote_loads)
        for endpoint_id, local in self.local_loads().items():
            remote = remote_loads.get(endpoint_id, _NO_LOAD)
            total[endpoint_id] = EndpointLoad(
                local.sequences + remote.sequences,
                local.kv_token_layers + remote.kv_token_layers,
                local.prefill_ms + remote.prefill_ms,
            )
        return total
