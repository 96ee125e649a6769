"""Request rates that endpoints named as their limit, as last seen by any gateway.

Every gateway and replica keeps a ledger. They exchange what changed and merge it: the later start
of an endpoint wins, then the later response. So a gateway knows a limit that it never saw itself.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lagoonwing_catalog._endpoints import INACTIVE_STATES
from lagoonwing_catalog.const import LIFTED_LIMIT_TTL_S
from lagoonwing_catalog.messages import LimitExtract, LimitObservation
from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId


@dataclass(frozen=True, slots=True)
class _Observation:
    """What the latest response of an endpoint said.

    Attributes:
        started_ms: Start time of the endpoint's incarnation.
        rate: Requests per second that it takes from all gateways; None if it named no limit.
        observed_at: Time of the response.
    """

    started_ms: int
    rate: float | None
    observed_at: float

    def is_replaced_by(self, other: _Observation) -> bool:
        """Return whether another observation is later."""
        return (other.started_ms, other.observed_at) > (self.started_ms, self.observed_at)


class LimitLedger:
    """Latest named limit by endpoint.

    Attributes:
        version: Increases when others must be told.
    """

    def __init__(self) -> None:
        self.version = 0
        self._latest_by_id: dict[EndpointId, _Observation] = {}

    def __len__(self) -> int:
        """Return the number of endpoints that named a limit, including limits that ended."""
        return len(self._latest_by_id)

    def rate(self, record: EndpointRecord) -> float | None:
        """Return the limit of an endpoint in requests per second, if it has one."""
        observation = self._latest_by_id.get(record.endpoint_id)
        if observation is None or observation.started_ms != record.started_ms:
            return None
        return observation.rate

    def rate_by_id(
        self, record_by_id: Mapping[EndpointId, EndpointRecord]
    ) -> dict[EndpointId, float]:
        """Return the limits in force, in requests per second, of endpoints that are known."""
        known = sorted(self._latest_by_id.keys() & record_by_id.keys())
        rates = ((endpoint_id, self.rate(record_by_id[endpoint_id])) for endpoint_id in known)
        return {endpoint_id: rate for endpoint_id, rate in rates if rate is not None}

    @callback
    def observe(self, record: EndpointRecord, rate: float | None, now: float) -> bool:
        """Record what a response said; return whether the limit changed.

        Args:
            record: The endpoint that responded.
            rate: Requests per second that it named; None if it named no limit.
            now: Current time in seconds.
        """
        if rate is None and record.endpoint_id not in self._latest_by_id:
            return False
        is_changed = self._store(record.endpoint_id, _Observation(record.started_ms, rate, now))
        self.version += is_changed
        return is_changed

    @callback
    def merge(self, extract: LimitExtract, now: float) -> tuple[EndpointId, ...]:
        """Merge what another ledger knows; return the endpoints whose limit changed."""
        changed_ids = []
        for endpoint_id, entry in extract.observation_by_id.items():
            received = _Observation(entry.started_ms, entry.rate, now - max(0.0, entry.age_s))
            own = self._latest_by_id.get(endpoint_id)
            if own is not None and not own.is_replaced_by(received):
                # The sender must learn what is known here.
                self.version += own.rate != received.rate
                continue
            if self._store(endpoint_id, received):
                changed_ids.append(endpoint_id)
        self.version += bool(changed_ids)
        return tuple(changed_ids)

    def extract(self, now: float) -> LimitExtract:
        """Return what is known, in the form in which it is sent."""
        return LimitExtract(
            {
                endpoint_id: LimitObservation(
                    observation.started_ms,
                    observation.rate,
                    round(now - observation.observed_at, 3),
                )
                for endpoint_id, observation in self._latest_by_id.items()
            }
        )

    @callback
    def expire(self, now: float) -> None:
        """Discard limits that ended long ago."""
        self._discard(
            endpoint_id
            for endpoint_id, observation in self._latest_by_id.items()
            if observation.rate is None and now > observation.observed_at + LIFTED_LIMIT_TTL_S
        )

    @callback
    def discard_gone(self, record_by_id: Mapping[EndpointId, EndpointRecord]) -> None:
        """Discard the limits of incarnations that have ended."""
        self._discard(
            endpoint_id
            for endpoint_id, observation in self._latest_by_id.items()
            if _has_ended(record_by_id.get(endpoint_id), observation.started_ms)
        )

    def _store(self, endpoint_id: EndpointId, observation: _Observation) -> bool:
        """Store a later observation; return whether the limit changed."""
        previous = self._latest_by_id.get(endpoint_id)
        if previous is not None and not previous.is_replaced_by(observation):
            return False
        self._latest_by_id[endpoint_id] = observation
        previous_rate = None if previous is None else previous.rate
        return previous_rate != observation.rate

    def _discard(self, endpoint_ids: Iterable[EndpointId]) -> None:
        """Discard entries."""
        for endpoint_id in list(endpoint_ids):
            del self._latest_by_id[endpoint_id]


def _has_ended(record: EndpointRecord | None, started_ms: int) -> bool:
    """Return whether an incarnation is known to have ended."""
    if record is None or record.started_ms < started_ms:
        return False
    return record.started_ms > started_ms or record.state in INACTIVE_STATES
