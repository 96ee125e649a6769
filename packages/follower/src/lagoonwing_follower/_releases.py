"""Queue of claim releases that could not be sent yet."""

from __future__ import annotations

from collections import deque

from expression import Result

from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_follower._leader_link import LeaderLink
from lagoonwing_follower.const import CONTACT_TIMEOUT_S, MAX_PENDING_RELEASES
from lagoonwing_wire.control_messages import ReleaseClaim

# Refusals after which a leader may still accept the release.
_RETRYABLE = frozenset({ResultCode.NOT_LEADER, ResultCode.NO_QUORUM, ResultCode.CLAIM_UNAVAILABLE})


class PendingReleases:
    """Sends queued releases once a leader answers; drops the oldest if the queue is full."""

    def __init__(self, links: LeaderLink) -> None:
        self._links = links
        self._pending: deque[ReleaseClaim] = deque(maxlen=MAX_PENDING_RELEASES)

    def __len__(self) -> int:
        """Return the number of pending releases."""
        return len(self._pending)

    @callback
    def add(self, release: ReleaseClaim) -> None:
        """Queue a release."""
        self._pending.append(release)

    async def async_send(self) -> None:
        """Send pending releases until one must be retried later."""
        while self._pending:
            release = self._pending[0]
            result = await self._links.async_call_once(release, CONTACT_TIMEOUT_S)
            match result:
                case Result(tag="error", error=Refusal(code=code)) if (
                    code in _RETRYABLE or code >= ResultCode.NOT_AUTHENTIC
                ):
                    return
                case _:
                    self._pending.popleft()
