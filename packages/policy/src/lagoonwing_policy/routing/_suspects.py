"""Assigns suspects to endpoints on which they run alone, identically on every entry host."""

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
    """Information about suspects that routing uses."""

    def crashed_on(self, fingerprint: Fingerprint) -> frozenset[EndpointId]:
        """Return the endpoints that crashed while a request was running on them."""

    def recorded_suspects(self) -> tuple[Fingerprint, ...]:
        """Return the suspects of the replicated state, oldest first."""


class NoSuspects:
    """Source without suspects."""

    def crashed_on(self, fingerprint: Fingerprint) -> frozenset[EndpointId]:
        """Return no endpoints."""
        return frozenset()

    def recorded_suspects(self) -> tuple[Fingerprint, ...]:
        """Return no suspects."""
        return ()


@dataclass(slots=True)
class _Pin:
    """Chain assigned to a suspect; `lost_since` is when one of its endpoints was found lost."""

    chain: Chain
    lost_since: float | None = None


@dataclass(frozen=True, slots=True)
class PoolView:
    """Pool state of one routing decision."""

    key: str
    pool: RoutePool
    may_use: Callable[[Candidate], bool]
    now: float


class SuspectPlacement:
    """Assigns each suspect one chain of endpoints, by rendezvous hashing of its fingerprint.

    Entry hosts agree on the chain without coordination, because it depends only on the endpoints
    and on the suspects of the replicated state in the order of their records. Copies of a
    request at several hosts thus use the same endpoints, and different suspects different ones.
    A lost chain is not replaced until the replicated state has had time to show whether the
    suspect crashed it.
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
        """Set the source of suspects."""
        self._source = source

    def chain(self, view: PoolView, fingerprint: Fingerprint) -> Chain:
        """Return the endpoints of a suspect, empty while it has to wait."""
        self._refresh(view.now)
        if fingerprint in self._recent:
            return self._active_chains(view).get(fingerprint, ())
        if self._is_awaiting_record(fingerprint, view.now):
            return ()
        return self._pinned(view, fingerprint, self.reserved(view))

    def _is_awaiting_record(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether this host's copy of the replicated state lacks the suspect.

        Until it arrives, earlier suspects may also be missing here, and could be assigned the
        same endpoints.
        """
        if fingerprint in self._recorded_set:
            return False
        since = self._awaited_since.setdefault(fingerprint, now)
        if len(self._awaited_since) > const.MAX_PINS:
            self._awaited_since.popitem(last=False)
        return now - since < const.SUSPECT_SETTLE_S

    def reserved(self, view: PoolView) -> frozenset[EndpointId]:
        """Return the endpoints that are reserved for recent suspects."""
        self._refresh(view.now)
        if not self._recent:
            return frozenset()
        chains = self._active_chains(view).values()
        return frozenset(candidate.endpoint_id for chain in chains for candidate in chain)

    def _refresh(self, now: float) -> None:
        """Update the suspects that became known to this host recently."""
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
        """Return the chains of as many recent suspects as fit; the others have to wait."""
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
        """Return the chains of recent suspects, assigned in the order of their records.

        Each chain is assigned when the record arrives, even if the suspect still has to wait:
        later, hosts could differ in which other suspects have been cleared.
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
        """Return the pinned chain of a suspect, or assign a new one."""
        crashed_on = self._source.crashed_on(fingerprint)
        key = (view.key, fingerprint, len(crashed_on))
        pin = self._pin_by_key.get(key)
        if pin is None:
            # Endpoint health is known only to this host; using it would make hosts disagree.
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
        """Store a pin that has a chain; evicts the oldest pin of a full table."""
        if not pin.chain:
            return
        self._pin_by_key[key] = pin
        if len(self._pin_by_key) > const.MAX_PINS:
            self._pin_by_key.popitem(last=False)

    def _is_settling(self, pin: _Pin, now: float) -> bool:
        """Return whether the replicated state may still show that the suspect crashed its chain."""
        if not pin.chain:
            return False
        if pin.lost_since is None:
            pin.lost_since = now
        return now - pin.lost_since < const.SUSPECT_SETTLE_S

    def _is_intact(self, pin: _Pin, view: PoolView) -> bool:
        """Return whether all endpoints of a chain are usable with the same incarnation."""
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
        """Return a chain without other suspects, preferably without endpoints it crashed."""
        chain = self._place(view, fingerprint, crashed_on | taken, requires_healthy)
        return chain or self._place(view, fingerprint, taken, requires_healthy)

    def _place(
        self,
        view: PoolView,
        fingerprint: Fingerprint,
        unwanted: frozenset[EndpointId],
        requires_healthy: bool,
    ) -> Chain:
        """Return the first chain in rendezvous order without the unwanted endpoints."""
        ordered = rendezvous_order(fingerprint, list(view.pool.candidate_by_id.values()))
        rank_by_id = {
            candidate.endpoint_id: float(rank)
            for rank, candidate in enumerate(ordered)
            if candidate.endpoint_id not in unwanted
            and (not requires_healthy or view.may_use(candidate))
        }
        return self._first_by_rank(view.pool, rank_by_id)

    def _first_by_rank(self, pool: RoutePool, rank_by_id: dict[EndpointId, float]) -> Chain:
        """Return the whole-model endpoint or the chain with the lowest rank."""
        whole = [item for item in pool.whole if item.endpoint_id in rank_by_id]
        if whole:
            return (min(whole, key=lambda item: rank_by_id[item.endpoint_id]),)
        for split in pool.splits:
            chain = self._chains.by_rank(split, lambda item: rank_by_id.get(item.endpoint_id))
            if chain:
                return chain
        return ()
