"""Endpoint crashes by what the requests had in common that ran on the endpoints.

Every gateway and replica keeps a ledger. They exchange bounded extracts and merge them, so that
what is known outlives the process that saw it. Merging is idempotent: a crash is identified by the
the incarnation of the endpoint.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from lagoonwing_catalog.const import (
    CRASH_TTL_S,
    EVICTED_SHARE,
    MAX_CRASHES_PER_TRAIT,
    MAX_EXTRACT_TRAITS,
    MAX_LEDGER_TRAITS,
    MAX_MESSAGE_DELAY_S,
    MIN_REMAINING_TTL_S,
)
from lagoonwing_catalog.messages import TraitCrashes
from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import CrashId, Fingerprint

_CRASH_ID_BYTES = 6
_DOMAIN_BYTES = 3


@dataclass(slots=True)
class _TraitRecord:
    """What is known of one trait.

    Attributes:
        crashed_at_by_id: Times of the crashes; a bounded selection of them.
        served_at: Time at which a request with the trait was last served.
    """

    crashed_at_by_id: dict[CrashId, float] = field(default_factory=dict)
    served_at: float = -math.inf

    def unserved(self) -> dict[CrashId, float]:
        """Return the crashes since a request with the trait was last served."""
        return {
            crash_id: crashed_at
            for crash_id, crashed_at in self.crashed_at_by_id.items()
            if crashed_at > self.served_at
        }

    def drop_most_redundant(self) -> None:
        """Drop the crash that is closest to its neighbours in time, but not the first or last."""
        ids = sorted(self.crashed_at_by_id, key=self.crashed_at_by_id.__getitem__)
        times = [self.crashed_at_by_id[crash_id] for crash_id in ids]
        inner = range(1, len(ids) - 1)
        redundant = min(inner, key=lambda index: times[index + 1] - times[index - 1])
        del self.crashed_at_by_id[ids[redundant]]


class CrashLedger:
    """Crashes by trait: the fingerprint of a request, or of a part of its prompt.

    Attributes:
        version: Increases with each change.
    """

    def __init__(self) -> None:
        self.version = 0
        self._record_by_trait: dict[Fingerprint, _TraitRecord] = {}

    def __contains__(self, trait: Fingerprint) -> bool:
        """Return whether any crash is known for a trait."""
        return trait in self._record_by_trait

    def __len__(self) -> int:
        """Return the number of traits with known crashes."""
        return len(self._record_by_trait)

    def unserved_crashes(self, trait: Fingerprint) -> Mapping[CrashId, float]:
        """Return the crashes since a request with the trait was last served, with their times."""
        record = self._record_by_trait.get(trait)
        return {} if record is None else record.unserved()

    def crash_count(self, trait: Fingerprint) -> int:
        """Return the number of known crashes of a trait."""
        record = self._record_by_trait.get(trait)
        return 0 if record is None else len(record.crashed_at_by_id)

    def served_at(self, trait: Fingerprint) -> float:
        """Return when a request with the trait was last served; minus infinity if unknown."""
        record = self._record_by_trait.get(trait)
        return -math.inf if record is None else record.served_at

    def traits(self) -> Iterator[Fingerprint]:
        """Yield the traits with known crashes."""
        yield from self._record_by_trait

    def crash_times(self) -> dict[CrashId, float]:
        """Return the times of all known crashes."""
        return {
            crash_id: crashed_at
            for record in self._record_by_trait.values()
            for crash_id, crashed_at in record.crashed_at_by_id.items()
        }

    @callback
    def record_crash(self, trait: Fingerprint, crash_id: CrashId, crashed_at: float) -> None:
        """Record that an endpoint crashed while it ran a request with a trait."""
        record = self._record_by_trait.setdefault(trait, _TraitRecord())
        if crash_id in record.crashed_at_by_id:
            return
        record.crashed_at_by_id[crash_id] = crashed_at
        if len(record.crashed_at_by_id) > MAX_CRASHES_PER_TRAIT:
            record.drop_most_redundant()
        # A crash that is dropped again changes nothing, or two ledgers would exchange it forever.
        self.version += crash_id in record.crashed_at_by_id
        if len(self._record_by_trait) > MAX_LEDGER_TRAITS:
            self._evict()

    @callback
    def record_served(self, trait: Fingerprint, served_at: float) -> None:
        """Record that a request with a trait was served; ignored for traits without crashes."""
        record = self._record_by_trait.get(trait)
        if record is None or served_at <= record.served_at:
            return
        is_first = math.isinf(record.served_at)
        if is_first or any(
            record.served_at < crashed_at <= served_at
            for crashed_at in record.crashed_at_by_id.values()
        ):
            self.version += 1
        record.served_at = served_at

    @callback
    def merge(self, extract: Iterable[TraitCrashes], now: float) -> None:
        """Merge an extract of another ledger."""
        for entry in extract:
            for crash_id, age_s in entry.age_s_by_crash.items():
                # Entries that are about to expire would otherwise travel around forever.
                if age_s < CRASH_TTL_S - MIN_REMAINING_TTL_S:
                    self.record_crash(entry.trait, crash_id, now - max(0.0, age_s))
            self._merge_served(entry, now)

    def extract(self, now: float) -> tuple[TraitCrashes, ...]:
        """Return the most significant entries in the form in which they are sent."""
        ranked = sorted(self._record_by_trait, key=self._significance, reverse=True)
        return tuple(
            self._encode_entry(trait, self._record_by_trait[trait], now)
            for trait in ranked[:MAX_EXTRACT_TRAITS]
        )

    @callback
    def expire(self, now: float) -> None:
        """Discard crashes that are too old to count."""
        for trait, record in list(self._record_by_trait.items()):
            for crash_id, crashed_at in list(record.crashed_at_by_id.items()):
                if now >= crashed_at + CRASH_TTL_S:
                    del record.crashed_at_by_id[crash_id]
            if not record.crashed_at_by_id:
                del self._record_by_trait[trait]

    def _merge_served(self, entry: TraitCrashes, now: float) -> None:
        """Merge when a trait was served; small differences are only the time on the way."""
        if entry.served_age_s is None:
            return
        served_at = now - max(0.0, entry.served_age_s)
        if served_at > self.served_at(entry.trait) + MAX_MESSAGE_DELAY_S:
            self.record_served(entry.trait, served_at)

    def _significance(self, trait: Fingerprint) -> tuple[int, float]:
        """Return the sort key of a trait: crashes that count, then the time of the last one."""
        record = self._record_by_trait[trait]
        return len(record.unserved()), max(record.crashed_at_by_id.values())

    def _evict(self) -> None:
        """Discard the least significant traits, several at once to limit the work."""
        ranked = sorted(self._record_by_trait, key=self._significance)
        for trait in ranked[: len(ranked) // EVICTED_SHARE]:
            del self._record_by_trait[trait]

    def _encode_entry(self, trait: Fingerprint, record: _TraitRecord, now: float) -> TraitCrashes:
        """Return the entry of a trait with ages instead of times, since clocks differ."""
        ages = {
            crash_id: round(now - crashed_at, 3)
            for crash_id, crashed_at in record.crashed_at_by_id.items()
        }
        served_age_s = None if math.isinf(record.served_at) else round(now - record.served_at, 3)
        return TraitCrashes(trait, ages, served_age_s)


def crash_id_of(endpoint: EndpointRecord) -> CrashId:
    """Return the id of the crash of one incarnation of an endpoint; it holds its failure domain."""
    text = f"{endpoint.endpoint_id}:{endpoint.started_ms}"
    return CrashId(_digest(text, _CRASH_ID_BYTES) + _digest(endpoint.failure_domain, _DOMAIN_BYTES))


def domain_digest(crash_id: CrashId) -> str:
    """Return a digest of the failure domain of the endpoint that crashed."""
    return crash_id[2 * _CRASH_ID_BYTES :]


def _digest(text: str, size: int) -> str:
    """Return a digest of a text in hexadecimal."""
    return hashlib.blake2b(text.encode(), digest_size=size).hexdigest()
