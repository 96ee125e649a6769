"""Decides which trait of the requests on crashed endpoints is the cause.

A trait is the cause if endpoints kept crashing under requests with it and none of these requests
was served since. Traits that only came along are told apart in two ways: requests with them are
served elsewhere, and crashes that are explained by a trait of which nothing was ever served don't
count for them. As long as two traits have only been seen together, only requests with both are
refused.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping

from lagoonwing_catalog import CrashLedger, domain_digest
from lagoonwing_catalog.const import MAX_CRASHES_PER_TRAIT
from lagoonwing_core.ids import CrashId, Fingerprint
from lagoonwing_gateway._traits import is_part
from lagoonwing_gateway.const import (
    CRASH_SETTLE_S,
    DOMAIN_LOSS_ENDPOINTS,
    DOMAIN_LOSS_SHARE,
    MASS_LOSS_ENDPOINTS,
    MASS_LOSS_SHARE,
    MASS_LOSS_WINDOW_S,
    MAX_CRASHES,
    MAX_CRASHES_AFTER_SERVICE,
    MIN_CRASH_SPAN_AFTER_SERVICE_S,
    QUARANTINE_S,
    SERVICE_MEMORY_S,
)


class CrashVerdict:
    """The state of a crash ledger at one moment.

    Args:
        ledger: Crashes by trait.
        find_losses: Returns when endpoints were lost, for any reason.
        now: Current time in seconds.
    """

    def __init__(
        self, ledger: CrashLedger, find_losses: Callable[[], Mapping[CrashId, float]], now: float
    ) -> None:
        self._ledger = ledger
        self._find_losses = find_losses
        self._now = now

    def is_culprit(self, trait: Fingerprint, request_traits: Collection[Fingerprint]) -> bool:
        """Return whether a trait is the cause of crashes, in a request with the given traits."""
        crashes = self._ledger.unserved_crashes(trait)
        if self._was_served(trait):
            return len(crashes) >= MAX_CRASHES_AFTER_SERVICE and self._has_turned(crashes)
        return self._is_settled(trait, crashes) and self.is_suspect(trait, request_traits)

    def is_suspect(self, trait: Fingerprint, request_traits: Collection[Fingerprint]) -> bool:
        """Return whether a trait is the cause unless another gateway has served it."""
        crashes = self._ledger.unserved_crashes(trait)
        if self._was_served(trait) or len(crashes) < MAX_CRASHES:
            return False
        if self._now >= max(crashes.values()) + QUARANTINE_S:
            return False
        # Endpoints that are lost together run many requests with one part, but hardly the same one.
        if is_part(trait) and count_separate_crashes(crashes, self._find_losses()) < MAX_CRASHES:
            return False
        return all(companion in request_traits for companion in self._companions(trait, crashes))

    def _was_served(self, trait: Fingerprint) -> bool:
        """Return whether requests with a trait were served before its crashes."""
        return self._now < self._ledger.served_at(trait) + SERVICE_MEMORY_S

    def _is_settled(self, trait: Fingerprint, crashes: Mapping[CrashId, float]) -> bool:
        """Return whether other gateways have had time to report that they served a part."""
        if not is_part(trait) or not crashes:
            return True
        return self._now >= min(crashes.values()) + CRASH_SETTLE_S

    def _has_turned(self, crashes: Mapping[CrashId, float]) -> bool:
        """Return whether a trait that used to be served is now the cause of crashes."""
        explained = {
            crash_id
            for other in self._ledger.traits()
            if not self._was_served(other)
            and len(other_crashes := self._ledger.unserved_crashes(other)) >= MAX_CRASHES
            for crash_id in other_crashes
        }
        unexplained = {
            crash_id: crashed_at
            for crash_id, crashed_at in crashes.items()
            if crash_id not in explained
        }
        times = unexplained.values()
        if not times or self._now >= max(times) + QUARANTINE_S:
            return False
        if count_separate_crashes(unexplained, self._find_losses()) < MAX_CRASHES_AFTER_SERVICE:
            return False
        return max(times) - min(times) >= MIN_CRASH_SPAN_AFTER_SERVICE_S

    def _companions(
        self, trait: Fingerprint, crashes: Mapping[CrashId, float]
    ) -> Iterable[Fingerprint]:
        """Yield the traits that were there at every crash of a trait and were never served."""
        # Of many crashes only a selection is known, which may differ between traits.
        required = len(crashes)
        if len(crashes) == MAX_CRASHES_PER_TRAIT:
            required //= 2
        for other in self._ledger.traits():
            if other == trait or self._was_served(other):
                continue
            shared = crashes.keys() & self._ledger.unserved_crashes(other).keys()
            if len(shared) >= required:
                yield other


def count_separate_crashes(
    crashes: Mapping[CrashId, float], losses: Mapping[CrashId, float]
) -> int:
    """Return the number of crashes of a trait; those in one mass loss of endpoints count as one.

    Args:
        crashes: Crashes of the trait and their times in seconds.
        losses: All endpoints that were lost, for any reason, and the times.
    """
    count = 0
    remaining = sorted(crashes.values())
    while remaining:
        began_at = remaining[0]
        length = sum(time <= began_at + MASS_LOSS_WINDOW_S for time in remaining)
        domains = Counter(
            domain_digest(crash_id)
            for crash_id, lost_at in losses.items()
            if abs(lost_at - began_at) <= MASS_LOSS_WINDOW_S
        )
        is_mass_loss = _is_domain_loss(domains) or _is_unrelated_loss(domains, length)
        count += 1
        del remaining[: length if is_mass_loss else 1]
    return count


def _is_domain_loss(domains: Counter[str]) -> bool:
    """Return whether most of several endpoints were lost in one failure domain."""
    lost = domains.total()
    if lost < DOMAIN_LOSS_ENDPOINTS:
        return False
    return max(domains.values()) >= DOMAIN_LOSS_SHARE * lost


def _is_unrelated_loss(domains: Counter[str], trait_crashes: int) -> bool:
    """Return whether most of many endpoints were lost without a trait."""
    lost = domains.total()
    return lost >= MASS_LOSS_ENDPOINTS and trait_crashes < MASS_LOSS_SHARE * lost
