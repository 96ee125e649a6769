"""Endpoints that say in their answers that they leave or pause, and what still reaches them."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from functools import cache
from typing import TYPE_CHECKING

from lagoonwing_fakes.builds import Build
from lagoonwing_platform.const import HEADER_LEAVING, HEADER_PAUSE
from soak.const import MAX_ROUTING_DELAY_AFTER_DRAIN_S

if TYPE_CHECKING:
    from soak.endpoints import SoakEndpoint
    from soak.models import SoakContext

# First commit whose gateways heed both words.
_HEEDED_SINCE = "67fa78e"
# Time that a gateway has to heed a pause, and requests that may reach the endpoint after it.
_PAUSE_GRACE_S = 0.5
_MAX_LATE_REQUESTS = 2
_MIN_PAUSE_S = 1.0
_MAX_PAUSE_S = 4.0
_MIN_LEAVE_S = 3.0
_MAX_LEAVE_S = 6.0


class Notice(Enum):
    """What an endpoint says of itself."""

    LEAVES = "leaves"
    PAUSES = "pauses"


@dataclass(frozen=True, slots=True)
class _Told:
    """A word that a gateway process has got.

    Attributes:
        until: End of the time for which it holds.
    """

    notice: Notice
    gateway: int
    endpoint_id: str
    at: float
    until: float


@dataclass
class NoticeRecord:
    """What endpoints said to each gateway process, and the requests that came from it.

    Attributes:
        frozen: Spans for which a process was frozen, by process id.
    """

    told: list[_Told] = field(default_factory=list)
    frozen: defaultdict[int, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _arrivals: defaultdict[tuple[int, str], list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def record_arrival(self, gateway: int, endpoint_id: str) -> None:
        """Record a request of a gateway that heeds both words."""
        self._arrivals[gateway, endpoint_id].append(asyncio.get_running_loop().time())

    def violations(self) -> list[str]:
        """Return what reached endpoints that had declined it."""
        found = []
        for told in self.told:
            grace_s, allowed = _PAUSE_GRACE_S, _MAX_LATE_REQUESTS
            if told.notice is Notice.LEAVES:
                grace_s, allowed = MAX_ROUTING_DELAY_AFTER_DRAIN_S, 0
            late = [
                time
                for time in self._arrivals[told.gateway, told.endpoint_id]
                if told.at + grace_s < time < told.until
                and not self._was_frozen(told.gateway, told.at, time)
            ]
            if len(late) > allowed:
                found.append(
                    f"{len(late)} requests reached {told.endpoint_id} from process {told.gateway} "
                    f"up to {late[-1] - told.at:.1f} s after it said that it {told.notice.value}"
                )
        return found

    def _was_frozen(self, gateway: int, begin: float, end: float) -> bool:
        """Return whether a process was frozen at any time of a span."""
        return any(start < end and stop > begin for start, stop in self.frozen[gateway])


class EndpointWords:
    """What one endpoint says at the moment."""

    def __init__(self, record: NoticeRecord, context: SoakContext) -> None:
        self._record = record
        self._context = context
        self.pause_until = 0.0
        self.is_leaving = False

    def receive(self, endpoint_id: str, gateway: int, *, is_held_up: bool) -> dict[str, str]:
        """Record a request; return the headers that its answer has to carry."""
        now = asyncio.get_running_loop().time()
        if not self._heeds_words(gateway):
            return self.headers(now)
        if not is_held_up:
            self._record.record_arrival(gateway, endpoint_id)
        if self.is_leaving:
            self._tell(Notice.LEAVES, gateway, endpoint_id, now, float("inf"))
        if now < self.pause_until:
            self._tell(Notice.PAUSES, gateway, endpoint_id, now, self.pause_until)
        return self.headers(now)

    def headers(self, now: float) -> dict[str, str]:
        """Return the headers of an answer; one with a pause is a refusal."""
        headers = {HEADER_LEAVING: "1"} if self.is_leaving else {}
        if now < self.pause_until:
            headers[HEADER_PAUSE] = f"{self.pause_until - now:.3f}"
        return headers

    def clear(self) -> None:
        """Forget all, as the next incarnation does."""
        self.pause_until = 0.0
        self.is_leaving = False

    def _tell(
        self, notice: Notice, gateway: int, endpoint_id: str, now: float, until: float
    ) -> None:
        """Record that a gateway is told something."""
        self._record.told.append(_Told(notice, gateway, endpoint_id, now, until))

    def _heeds_words(self, gateway: int) -> bool:
        """Return whether the build that a process runs heeds both words."""
        for process in self._context.processes.gateways:
            if process.popen is not None and process.popen.pid == gateway:
                return _is_new_enough(process.running_build)
        return False


@cache
def _is_new_enough(build: Build | None) -> bool:
    """Return whether a build heeds both words."""
    return build is None or build.contains(_HEEDED_SINCE)


class Notices:
    """Lets endpoints leave and pause at random."""

    def __init__(self, context: SoakContext) -> None:
        self._context = context
        for endpoint in context.endpoints:
            endpoint.words = EndpointWords(context.notices, context)

    async def async_run(self) -> None:
        """Let one endpoint after another, or several at once, say something of itself."""
        rng = self._context.rng
        while True:
            await asyncio.sleep(rng.uniform(0.3, 2.0))
            notice = rng.choice(list(Notice))
            for endpoint in rng.sample(self._context.endpoints, rng.choice((1, 1, 3))):
                if endpoint.is_up and endpoint.endpoint_id not in self._context.drained_at_by_id:
                    self._begin(endpoint, notice)

    def _begin(self, endpoint: SoakEndpoint, notice: Notice) -> None:
        """Let an endpoint say something from now on; one that leaves ends some seconds later."""
        words = endpoint.words
        assert words is not None
        loop = asyncio.get_running_loop()
        self._context.outcome.record_fault(f"{endpoint.endpoint_id} {notice.value}")
        match notice:
            case Notice.PAUSES:
                seconds = self._context.rng.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S)
                words.pause_until = loop.time() + seconds
            case Notice.LEAVES if not words.is_leaving:
                words.is_leaving = True
                seconds = self._context.rng.uniform(_MIN_LEAVE_S, _MAX_LEAVE_S)
                loop.call_later(seconds, self._end, endpoint, endpoint.incarnation)

    def _end(self, endpoint: SoakEndpoint, incarnation: int) -> None:
        """End an endpoint that leaves, unless that incarnation is gone."""
        if endpoint.incarnation == incarnation:
            endpoint.crash()
