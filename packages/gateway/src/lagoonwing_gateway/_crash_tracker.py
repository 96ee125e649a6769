"""Requests that crash endpoints, counted over all gateways.

A request that crashes each endpoint that runs it, and is retried, is refused by all gateways after
the third crash.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import Fingerprint
from lagoonwing_gateway.const import CRASH_WINDOW_S, MAX_CRASHES
from lagoonwing_gateway.models import RequestContext

_DIGEST_BYTES = 12


class CrashTracker:
    """Counts endpoint crashes by request fingerprint."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._times_by_fingerprint: dict[Fingerprint, list[float]] = {}

    @callback
    def record_crash(self, context: RequestContext) -> None:
        """Record that an endpoint crashed while it ran a request."""
        times = self._times_by_fingerprint.setdefault(request_fingerprint(context), [])
        times.append(self._clock.now())

    def counts(self) -> dict[Fingerprint, int]:
        """Return the recent crashes seen by this gateway."""
        window_start = self._clock.now() - CRASH_WINDOW_S
        for fingerprint, times in list(self._times_by_fingerprint.items()):
            recent = [time for time in times if time >= window_start]
            if recent:
                self._times_by_fingerprint[fingerprint] = recent
            else:
                del self._times_by_fingerprint[fingerprint]
        return {
            fingerprint: len(times) for fingerprint, times in self._times_by_fingerprint.items()
        }

    def is_quarantined(
        self, context: RequestContext, remote_counts: Mapping[Fingerprint, int]
    ) -> bool:
        """Return whether a request crashed too many endpoints, counting those of other gateways."""
        if not self._times_by_fingerprint and not remote_counts:
            return False
        fingerprint = request_fingerprint(context)
        return self.counts().get(fingerprint, 0) + remote_counts.get(fingerprint, 0) >= MAX_CRASHES


def request_fingerprint(context: RequestContext) -> Fingerprint:
    """Return a fingerprint that is the same for all retries of a request."""
    member_id = "" if context.member is None else context.member.member_id
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (context.request.target.encode(), member_id.encode(), context.request.body):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return Fingerprint(digest.hexdigest())
