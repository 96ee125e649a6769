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


class SuspectSource(Protocol):
    """What routing needs to know of suspects."""

    def crashed_on(self, fingerprint: Fingerprint) -> frozenset[EndpointId]:
        """Return the endpoints that died while they ran a request."""

    def recorded_suspects(self) -> tuple[Fingerprint, ...]:
        """Return the suspects of the durable state, the oldest first."""


class NoSuspects:
    """View of a system without suspects."""

    def crashed_on(self, fingerprint: Fingerprint) -> frozenset[EndpointId]:
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


@dataclass(frozen=True, slots=True)
class PoolView:
    """A pool as one decision sees it."""

    key: str
    pool: RoutePool
    may_use: Callable[[Candidate], bool]
    now: float


class SuspectPlacement:
    """Gives each suspect one chain of endpoints, by rendezvous hashing of its fingerprint.

    Entry hosts agree on the chain without talking, for it follows from the endpoints and from
    the suspects of the durable state, taken in the order of their records. So copies at several
    hosts meet on one endpoint, and no two suspects meet. A chain that is gone is not replaced
    until the durable state has had time to tell whether the suspect killed it.
    """

    def __init__(self, chains: ChainChooser) -> None:
        self._chains = chains
        self._source: SuspectSource = NoSuspects()
        self._pin_by_key: OrderedDict[tuple[str, Fingerprint, int], _Pin] = OrderedDict()
        self._recorded: tuple[Fingerprint, ...] = ()
        self._recorded_set: frozenset[Fingerprint] = frozenset()
        self._recent: OrderedDict[Fingerprint, float] = OrderedDict()
        self._awaited_since: OrderedDict[Fingerprint, float] = OrderedDict()

    def set_source(self, source: SuspectSource) -> None:
        """Set where suspects are looked up."""
        self._source = source

    def chain(self, view: PoolView, fingerprint: Fingerprint) -> Chain:
        """Return the endpoints of a suspect, or none while it has to wait."""
        self._refresh(view.now)
        if fingerprint in self._recent:
            return self._active_chains(view).get(fingerprint, ())
        if self._is_awaiting_record(fingerprint, view.now):
            return ()
        return self._pinned(view, fingerprint, self.reserved(view))

    def _is_awaiting_record(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether this host's copy of the durable state has yet to hold a suspect.

        Until then other suspects of earlier records may be unknown here, and meet this one.
        """
        if fingerprint in self._recorded_set:
            return False
        since = self._awaited_since.setdefault(fingerprint, now)
        if len(self._awaited_since) > const.MAX_PINS:
            self._awaited_since.popitem(last=False)
        return now - since < const.SUSPECT_SETTLE_S

    def reserved(self, view: PoolView) -> frozenset[EndpointId]:
        """Return the endpoints that other work must leave to recent suspects."""
        self._refresh(view.now)
        if not self._recent:
            return frozenset()
        chains = self._active_chains(view).values()
        return frozenset(candidate.endpoint_id for chain in chains for candidate in chain)

    def _refresh(self, now: float) -> None:
        """Note which suspects this host came to know a short while ago."""
        suspects = self._source.recorded_suspects()
        if suspects is not self._recorded:
            self._recorded = suspects
            new_suspects = frozenset(suspects) - self._recorded_set
            self._recorded_set = frozenset(suspects)
            kept = {
                item: self._recent.get(item, now)
                for item in suspects
                if item in self._recent or item in new_suspects
            }
            self._recent = OrderedDict(kept)
        for fingerprint in [
            item for item, since in self._recent.items() if now - since >= const.RESERVATION_S
        ]:
            del self._recent[fingerprint]

    def _active_chains(self, view: PoolView) -> dict[Fingerprint, Chain]:
        """Return the chains of the first recent suspects; the others wait for their turn."""
        max_reserved = max(1, int(len(view.pool.candidate_by_id) * const.MAX_RESERVED_SHARE))
        used: set[EndpointId] = set()
        chain_by_fingerprint: dict[Fingerprint, Chain] = {}
        for fingerprint, chain in self._recent_chains(view).items():
            endpoint_ids = {candidate.endpoint_id for candidate in chain}
            if len(used) >= max_reserved:
                break
            if used.isdisjoint(endpoint_ids):
                chain_by_fingerprint[fingerprint] = chain
                used |= endpoint_ids
        return chain_by_fingerprint

    def _recent_chains(self, view: PoolView) -> dict[Fingerprint, Chain]:
        """Return the chains of recent suspects, given in the order of their records.

        Each is given as its record arrives, whether or not it is its turn: later, hosts would
        differ in which of the others have been cleared.
        """
        taken: frozenset[EndpointId] = frozenset()
        chain_by_fingerprint: dict[Fingerprint, Chain] = {}
        for fingerprint in list(self._recent)[: const.MAX_PINS // 4]:
            chain = self._pinned(view, fingerprint, taken)
            if not chain and taken:
                taken = frozenset()
                chain = self._pinned(view, fingerprint, taken)
            chain_by_fingerprint[fingerprint] = chain
            taken |= {candidate.endpoint_id for candidate in chain}
        return chain_by_fingerprint

    def _pinned(
        self, view: PoolView, fingerprint: Fingerprint, taken: frozenset[EndpointId]
    ) -> Chain:
        """Return the chain that a suspect keeps, or a new one away from other suspects."""
        crashed_on = self._source.crashed_on(fingerprint)
        key = (view.key, fingerprint, len(crashed_on))
        pin = self._pin_by_key.get(key)
        if pin is None:
            # What this host alone knows of endpoints' health must not make hosts differ.
            pin = _Pin(
                self._place_avoiding_suspects(
                    view, fingerprint, crashed_on, taken, requires_healthy=False
                )
            )
            self._keep(key, pin)
        if self._is_intact(pin, view):
            return pin.chain
        if self._is_settling(pin, view.now):
            return ()
        chain = self._place_avoiding_suspects(
            view, fingerprint, crashed_on, taken, requires_healthy=True
        )
        if chain:
            self._keep(key, _Pin(chain))
        return chain

    def _keep(self, key: tuple[str, Fingerprint, int], pin: _Pin) -> None:
        """Keep a pin within the bound of the table, unless it has no chain."""
        if not pin.chain:
            return
        self._pin_by_key[key] = pin
        if len(self._pin_by_key) > const.MAX_PINS:
            self._pin_by_key.popitem(last=False)

    def _is_settling(self, pin: _Pin, now: float) -> bool:
        """Return whether the durable state may yet tell that the suspect killed its chain."""
        if not pin.chain:
            return False
        if pin.lost_since is None:
            pin.lost_since = now
        return now - pin.lost_since < const.SUSPECT_SETTLE_S

    def _is_intact(self, pin: _Pin, view: PoolView) -> bool:
        """Return whether every endpoint of a chain still runs the same incarnation."""
        for candidate in pin.chain:
            current = view.pool.candidate_by_id.get(candidate.endpoint_id)
            if current is None or current.stage != candidate.stage or not view.may_use(current):
                return False
        pin.lost_since = None
        return bool(pin.chain)

    def _place_avoiding_suspects(
        self,
        view: PoolView,
        fingerprint: Fingerprint,
        crashed_on: frozenset[EndpointId],
        taken: frozenset[EndpointId],
        requires_healthy: bool,
    ) -> Chain:
        """Return a chain away from other suspects, if possible off what died of this one."""
        chain = self._place(view, fingerprint, crashed_on | taken, requires_healthy)
        return chain or self._place(view, fingerprint, taken, requires_healthy)

    def _place(
        self,
        view: PoolView,
        fingerprint: Fingerprint,
        unwanted: frozenset[EndpointId],
        requires_healthy: bool,
    ) -> Chain:
        """Return the first chain in rendezvous order without unwanted endpoints."""
        ordered = rendezvous_order(fingerprint, list(view.pool.candidate_by_id.values()))
        rank_by_id = {
            candidate.endpoint_id: float(rank)
            for rank, candidate in enumerate(ordered)
            if candidate.endpoint_id not in unwanted
            and (not requires_healthy or view.may_use(candidate))
        }
        return self._first_by_rank(view.pool, rank_by_id)

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
