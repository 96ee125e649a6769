"""Endpoints on which suspects run alone, the same ones at every entry host."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lagoonwing_core.ids import EndpointId, Fingerprint
from lagoonwing_policy.routing import const
from lagoonwing_policy.routing._affinity import rendezvous_order
from lagoonwing_policy.routing._pools import Candidate, RoutePool
from lagoonwing_policy.routing._stages import ChainChooser

Chain = tuple[Candidate, ...]


class SuspectView(Protocol):
    """What routing needs to know of suspects."""

    def deaths(self, fingerprint: Fingerprint) -> frozenset[EndpointId]:
        """Return the endpoints that died while they ran a request."""

    def recorded_suspects(self) -> tuple[Fingerprint, ...]:
        """Return the suspects of the durable state, the oldest first."""


class NoSuspects:
    """View of a system without suspects."""

    def deaths(self, fingerprint: Fingerprint) -> frozenset[EndpointId]:
        """Return no endpoints."""
        return frozenset()

    def recorded_suspects(self) -> tuple[Fingerprint, ...]:
        """Return no suspects."""
        return ()


@dataclass(slots=True)
class _Pin:
    """Chain given to a suspect; `lost_since` is when one of its endpoints was found gone."""

    chain: Chain
    lost_since: float | None = None


class SuspectPlacement:
    """Gives each suspect one chain of endpoints, by rendezvous hashing of its fingerprint.

    Entry hosts agree on the chain without talking, for it follows from the fingerprint, the
    endpoints and the deaths in the durable state. So copies at several hosts meet on one
    endpoint. A chain that is gone is not replaced until the durable state has had time to
    tell whether the suspect killed it.
    """

    def __init__(self, chains: ChainChooser) -> None:
        self._chains = chains
        self._view: SuspectView = NoSuspects()
        self._pin_by_key: OrderedDict[tuple[str, Fingerprint, int], _Pin] = OrderedDict()
        self._seen_by_fingerprint: dict[Fingerprint, float] = {}

    def set_view(self, view: SuspectView) -> None:
        """Set where suspects are looked up."""
        self._view = view

    def chain(
        self,
        pool_key: str,
        pool: RoutePool,
        fingerprint: Fingerprint,
        may_use: Callable[[Candidate], bool],
        now: float,
    ) -> Chain:
        """Return the endpoints of a suspect, or none while it has to wait."""
        deaths = self._view.deaths(fingerprint)
        key = (pool_key, fingerprint, len(deaths))
        pin = self._pin_by_key.get(key)
        if pin is not None and self._is_whole(pin.chain, pool, may_use):
            pin.lost_since = None
            return pin.chain
        if pin is not None and self._is_settling(pin, now):
            return ()
        chain = self._place(pool, fingerprint, deaths, may_use)
        if chain:
            self._pin_by_key[key] = _Pin(chain)
            if len(self._pin_by_key) > const.MAX_PINS:
                self._pin_by_key.popitem(last=False)
        return chain

    def _is_settling(self, pin: _Pin, now: float) -> bool:
        """Return whether the durable state may yet tell that the suspect killed its chain."""
        if pin.lost_since is None:
            pin.lost_since = now
        return now - pin.lost_since < const.SUSPECT_SETTLE_S

    def reserved(
        self,
        pool_key: str,
        pool: RoutePool,
        may_use: Callable[[Candidate], bool],
        now: float,
    ) -> frozenset[EndpointId]:
        """Return the endpoints that other work must leave to recent suspects."""
        suspects = self._view.recorded_suspects()
        if not suspects:
            self._seen_by_fingerprint.clear()
            return frozenset()
        most = int(len(pool.candidate_by_id) * const.MAX_RESERVED_SHARE)
        reserved: set[EndpointId] = set()
        for fingerprint in self._recent(suspects, now):
            chain = self.chain(pool_key, pool, fingerprint, may_use, now)
            if len(reserved) + len(chain) > most:
                break
            reserved.update(candidate.endpoint_id for candidate in chain)
        return frozenset(reserved)

    def _recent(self, suspects: tuple[Fingerprint, ...], now: float) -> list[Fingerprint]:
        """Return the suspects that this host came to know a short while ago."""
        seen = {
            fingerprint: self._seen_by_fingerprint.get(fingerprint, now) for fingerprint in suspects
        }
        self._seen_by_fingerprint = seen
        return [item for item in suspects if now - seen[item] < const.RESERVATION_S]

    def _is_whole(
        self, chain: Chain, pool: RoutePool, may_use: Callable[[Candidate], bool]
    ) -> bool:
        """Return whether every endpoint of a chain still runs the same incarnation."""
        for candidate in chain:
            current = pool.candidate_by_id.get(candidate.endpoint_id)
            if current is None or current.stage != candidate.stage or not may_use(current):
                return False
        return True

    def _place(
        self,
        pool: RoutePool,
        fingerprint: Fingerprint,
        deaths: frozenset[EndpointId],
        may_use: Callable[[Candidate], bool],
    ) -> Chain:
        """Return the first chain in rendezvous order without endpoints that died of it."""
        for allowed in (frozenset(pool.candidate_by_id) - deaths, frozenset(pool.candidate_by_id)):
            ordered = rendezvous_order(fingerprint, list(pool.candidate_by_id.values()))
            rank_by_id = {
                candidate.endpoint_id: float(rank)
                for rank, candidate in enumerate(ordered)
                if candidate.endpoint_id in allowed and may_use(candidate)
            }
            chain = self._first_by_rank(pool, rank_by_id)
            if chain:
                return chain
        return ()

    def _first_by_rank(self, pool: RoutePool, rank_by_id: dict[EndpointId, float]) -> Chain:
        """Return the endpoint, or the chain, of the lowest ranks."""
        whole = [item for item in pool.whole if item.endpoint_id in rank_by_id]
        if whole:
            return (min(whole, key=lambda item: rank_by_id[item.endpoint_id]),)
        for split in pool.splits:
            chain = self._chains.by_rank(split, lambda item: rank_by_id.get(item.endpoint_id))
            if chain:
                return chain
        return ()
