"""Bounds how much work starts before a request that fits nowhere."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Generic

from lagoonwing_admission._queue import WorkT
from lagoonwing_admission.const import MAX_RESERVE_S, RESERVE_FACTOR
from lagoonwing_admission.models import WorkId


@dataclass(slots=True)
class _Overtaken:
    """Work that started before one request, and since when capacity is reserved for it."""

    cost: float = 0.0
    reserved_since: float | None = None


class OvertakingLimit(Generic[WorkT]):
    """Reserves capacity for a large request that small ones have overtaken.

    Small requests that start where the first one does not fit would otherwise take all capacity
    that becomes free. Once work of its own cost has overtaken a request, those behind it are held
    back until it fits, for a bounded time, since it may fit nowhere.
    """

    def __init__(self) -> None:
        self._overtaken_by_id: dict[WorkId, _Overtaken] = {}
        self._offered: Sequence[WorkT] = ()

    def limit(self, candidates: list[WorkT], rate: float | None, now: float) -> list[WorkT]:
        """Return the candidates up to the first one for which capacity is reserved.

        Args:
            candidates: Waiting requests in the order in which they would start.
            rate: Cost that the service starts per second; nothing is reserved while it is unknown.
            now: Time in seconds.
        """
        for position, work in enumerate(candidates):
            if rate and self._is_reserved(work, rate, now):
                candidates = candidates[: position + 1]
                break
        self._offered = candidates
        return candidates

    def started(self, work: WorkT) -> None:
        """Count a started request for the candidates that were offered before it."""
        if any(offered.work_id == work.work_id for offered in self._offered):
            for passed in self._offered:
                if passed.work_id == work.work_id:
                    break
                self._overtaken_by_id.setdefault(passed.work_id, _Overtaken()).cost += work.cost
        self.forget(work)

    def forget(self, work: WorkT) -> None:
        """Forget a request that does not wait any more."""
        self._overtaken_by_id.pop(work.work_id, None)
        self._offered = [offered for offered in self._offered if offered.work_id != work.work_id]

    def _is_reserved(self, work: WorkT, rate: float, now: float) -> bool:
        """Return whether those behind a request are held back for it."""
        overtaken = self._overtaken_by_id.get(work.work_id)
        if overtaken is None or overtaken.cost < work.cost:
            return False
        if overtaken.reserved_since is None:
            overtaken.reserved_since = now
        longest_s = min(MAX_RESERVE_S, RESERVE_FACTOR * work.cost / rate)
        if now - overtaken.reserved_since <= longest_s:
            return True
        del self._overtaken_by_id[work.work_id]
        return False
