"""Work in flight at endpoints: own work for certain, that of others as they report it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId
from lagoonwing_placement import Path, Work

_NO_LOAD = EndpointLoad(0, 0, 0)


@dataclass(slots=True)
class _Own:
    """Own work at one endpoint."""

    sequences: int = 0
    kv_token_layers: int = 0
    prefill_ms: float = 0.0


@dataclass(slots=True)
class Reservation:
    """What one request holds on its path until it ends.

    Attributes:
        read_ms_by_id: Prompt reading at each endpoint; empty once the prompt is read.
    """

    path: Path
    work: Work
    prefill_ms_by_id: dict[EndpointId, float]


class Ledger:
    """Sums of reservations by endpoint."""

    def __init__(self) -> None:
        self._own_by_id: dict[EndpointId, _Own] = {}
        self._calls_by_id: dict[EndpointId, int] = {}

    @callback
    def reserve(
        self, path: Path, work: Work, prefill_ms_by_id: dict[EndpointId, float]
    ) -> Reservation:
        """Count a request on every endpoint of its path."""
        for part in path.parts:
            own = self._own_by_id.setdefault(part.endpoint_id, _Own())
            own.sequences += 1
            own.kv_token_layers += work.tokens * part.layers.count
            own.prefill_ms += prefill_ms_by_id[part.endpoint_id]
        return Reservation(path, work, prefill_ms_by_id)

    @callback
    def prompt_read(self, reservation: Reservation) -> None:
        """Note that a request has its first token, and so its prompt is read."""
        for endpoint_id, prefill_ms in reservation.prefill_ms_by_id.items():
            self._own_by_id[endpoint_id].prefill_ms -= prefill_ms
        reservation.prefill_ms_by_id = {}

    @callback
    def release(self, reservation: Reservation) -> None:
        """Free what a request held."""
        self.prompt_read(reservation)
        for part in reservation.path.parts:
            own = self._own_by_id[part.endpoint_id]
            own.sequences -= 1
            own.kv_token_layers -= reservation.work.tokens * part.layers.count
            if own.sequences == 0:
                del self._own_by_id[part.endpoint_id]

    @callback
    def begin_call(self, endpoint_id: EndpointId) -> None:
        """Count a plain call."""
        self._calls_by_id[endpoint_id] = self._calls_by_id.get(endpoint_id, 0) + 1

    @callback
    def end_call(self, endpoint_id: EndpointId) -> None:
        """Forget a plain call."""
        self._calls_by_id[endpoint_id] -= 1
        if self._calls_by_id[endpoint_id] == 0:
            del self._calls_by_id[endpoint_id]

    def own_loads(self) -> dict[EndpointId, EndpointLoad]:
        """Return the own work at each endpoint."""
        loads = {
            endpoint_id: EndpointLoad(
                own.sequences, own.kv_token_layers, max(0, round(own.prefill_ms))
            )
            for endpoint_id, own in self._own_by_id.items()
        }
        for endpoint_id, calls in self._calls_by_id.items():
            loads[endpoint_id] = EndpointLoad(calls, 0, 0)
        return loads

    def loads(self, others: Mapping[EndpointId, EndpointLoad]) -> dict[EndpointId, EndpointLoad]:
        """Return the work of all gateways at each endpoint."""
        total = dict(others)
        for endpoint_id, own in self.own_loads().items():
            other = others.get(endpoint_id, _NO_LOAD)
            total[endpoint_id] = EndpointLoad(
                own.sequences + other.sequences,
                own.kv_token_layers + other.kv_token_layers,
                own.prefill_ms + other.prefill_ms,
            )
        return total
