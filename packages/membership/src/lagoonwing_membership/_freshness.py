"""Upper bounds of the age of received input, without synchronized clocks."""

from __future__ import annotations

import math
from dataclasses import dataclass

from lagoonwing_core.ids import HostId, Incarnation
from lagoonwing_membership import const
from lagoonwing_membership.models import Header


@dataclass(slots=True)
class _PeerClock:
    """Latest clock reading received from a peer."""

    incarnation: Incarnation
    sent_ms: int
    received: float
    knows_own_incarnation: bool


class MessageAges:
    """Bounds the transit time of messages.

    Each message echoes the receiver's own latest clock reading and how long it was held. A
    message that was queued in a socket, or in a paused process, is thus never taken for fresh.
    """

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self._peer_by_id: dict[HostId, _PeerClock] = {}

    def header_for(self, host_id: HostId, now: float) -> Header:
        """Return the header of a message to a host created now."""
        peer = self._peer_by_id.get(host_id)
        sent_ms = math.floor(now * 1000)
        if peer is None:
            return Header(self.incarnation, Incarnation(0), sent_ms, 0, 0)
        held_ms = math.floor((now - peer.received) * 1000)
        return Header(self.incarnation, peer.incarnation, sent_ms, peer.sent_ms, held_ms)

    def is_outdated(self, host_id: HostId, header: Header) -> bool:
        """Return whether the message comes from an earlier incarnation of the sender."""
        peer = self._peer_by_id.get(host_id)
        return peer is not None and header.incarnation < peer.incarnation

    def observe(self, host_id: HostId, header: Header, now: float) -> float:
        """Record a peer's clock reading and bound the age of its message.

        Returns:
            Upper bound of the seconds since the message was created; infinity if unbounded.
        """
        self._note(host_id, header, now)
        if header.to_incarnation != self.incarnation:
            return math.inf
        return max(0.0, now - (header.echo_ms + header.held_ms) / 1000)

    def knows_own_incarnation(self, host_id: HostId) -> bool:
        """Return whether the peer's latest message names this incarnation."""
        peer = self._peer_by_id.get(host_id)
        return peer is not None and peer.knows_own_incarnation

    def _note(self, host_id: HostId, header: Header, now: float) -> None:
        """Store the latest clock reading of a peer."""
        knows_own_incarnation = header.to_incarnation == self.incarnation
        peer = self._peer_by_id.get(host_id)
        if peer is None or header.incarnation > peer.incarnation:
            self._peer_by_id[host_id] = _PeerClock(
                header.incarnation, header.sent_ms, now, knows_own_incarnation
            )
            return
        peer.knows_own_incarnation = knows_own_incarnation
        if header.sent_ms >= peer.sent_ms:
            peer.sent_ms = header.sent_ms
            peer.received = now

    def forget(self, host_id: HostId) -> None:
        """Drop the clock reading of a host."""
        self._peer_by_id.pop(host_id, None)


class PauseDetector:
    """Detects pauses of this process and bounds the age of input read just after them."""

    def __init__(self) -> None:
        self._last: float | None = None
        self._gap_start: float | None = None
        self._resumed = 0.0

    def observe(self, now: float) -> bool:
        """Record a call; return whether a pause has just ended."""
        last = self._last
        self._last = now
        if last is None or now - last <= const.INPUT_GAP_S:
            return False
        if self._gap_start is None or last - self._resumed > const.PAUSE_SETTLE_S:
            self._gap_start = last
        self._resumed = now
        return now - last > const.PAUSE_GAP_S

    def input_age(self, now: float) -> float:
        """Return an upper bound of the time that input read now was queued."""
        if self._gap_start is None:
            return 0.0
        if now - self._resumed > const.PAUSE_SETTLE_S:
            self._gap_start = None
            return 0.0
        return now - self._gap_start
