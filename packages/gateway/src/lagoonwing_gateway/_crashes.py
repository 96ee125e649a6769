"""Requests after which endpoints died, counted over all gateways.

Answers the load of a single request that crashes each endpoint that runs it and comes again: after
the third death it is refused everywhere.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import Fingerprint
from lagoonwing_gateway.const import CRASH_MEMORY_S, MAX_CRASHES
from lagoonwing_gateway.models import RequestContext

_DIGEST_BYTES = 12


class Crashes:
    """Deaths by request, those seen here and those that other gateways tell of."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._times_by_fingerprint: dict[Fingerprint, list[float]] = {}

    @callback
    def note(self, context: RequestContext) -> None:
        """Note that an endpoint died while it ran a request."""
        times = self._times_by_fingerprint.setdefault(fingerprint(context), [])
        times.append(self._clock.now())

    def counts(self) -> dict[Fingerprint, int]:
        """Return the deaths seen here lately."""
        oldest = self._clock.now() - CRASH_MEMORY_S
        for known, times in list(self._times_by_fingerprint.items()):
            kept = [time for time in times if time >= oldest]
            if kept:
                self._times_by_fingerprint[known] = kept
            else:
                del self._times_by_fingerprint[known]
        return {known: len(times) for known, times in self._times_by_fingerprint.items()}

    def is_quarantined(self, context: RequestContext, others: Mapping[Fingerprint, int]) -> bool:
        """Return whether too many endpoints have died of a request."""
        if not self._times_by_fingerprint and not others:
            return False
        known = fingerprint(context)
        return self.counts().get(known, 0) + others.get(known, 0) >= MAX_CRASHES


def fingerprint(context: RequestContext) -> Fingerprint:
    """Return what a request has in common with its repetitions."""
    member_id = "" if context.member is None else context.member.member_id
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (context.request.target.encode(), member_id.encode(), context.request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
