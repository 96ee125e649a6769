"""Upper bounds of the age of what is received, without a common clock."""

from __future__ import annotations

import math
from dataclasses import dataclass

from lagoonwing_core.ids import HostId, Incarnation
from lagoonwing_membership import const
from lagoonwing_membership.models import Header


@dataclass(slots=True)
class _PeerClock:
    """Latest clock reading heard of a peer."""

    incarnation: Incarnation
    sent_ms: int
    received: float
    knows_us: bool


class MessageAges:
    """Bounds the time that a message was on its way.

    Each message returns the receiver's own latest clock reading and how long it was held. So
    a message that waited in a socket, or in a process that stood still, is never taken for new.
    """

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self._peer_by_id: dict[HostId, _PeerClock] = {}

    def header_for(self, host_id: HostId, now: float) -> Header:
        """Return the header of a message made now for a host."""
        peer = self._peer_by_id.get(host_id)
        sent_ms = math.floor(now * 1000)
        if peer is None:
            return Header(self.incarnation, Incarnation(0), sent_ms, 0, 0)
        held_ms = math.floor((now - peer.received) * 1000)
        return Header(self.incarnation, peer.incarnation, sent_ms, peer.sent_ms, held_ms)

    def is_outdated(self, host_id: HostId, header: Header) -> bool:
        """Return whether the message comes from a process that has been replaced."""
        peer = self._peer_by_id.get(host_id)
        return peer is not None and header.incarnation < peer.incarnation

    def observe(self, host_id: HostId, header: Header, now: float) -> float:
        """Note a peer's clock and bound the age of its message.

        Returns:
            Seconds, at most, since the message was made; infinity where nothing bounds it.
        """
        self._note(host_id, header, now)
        if header.to_incarnation != self.incarnation:
            return math.inf
        return max(0.0, now - (header.echo_ms + header.held_ms) / 1000)

    def knows_us(self, host_id: HostId) -> bool:
        """Return whether a peer has shown that it knows this incarnation."""
        peer = self._peer_by_id.get(host_id)
        return peer is not None and peer.knows_us

    def _note(self, host_id: HostId, header: Header, now: float) -> None:
        """Keep the latest clock reading of a peer."""
        knows_us = header.to_incarnation == self.incarnation
        peer = self._peer_by_id.get(host_id)
        if peer is None or header.incarnation > peer.incarnation:
            self._peer_by_id[host_id] = _PeerClock(
                header.incarnation, header.sent_ms, now, knows_us
            )
            return
        peer.knows_us = knows_us
        if header.sent_ms >= peer.sent_ms:
            peer.sent_ms = header.sent_ms
            peer.received = now

    def forget(self, host_id: HostId) -> None:
        """Drop what is known of a host."""
        self._peer_by_id.pop(host_id, None)


class PauseDetector:
    """Notices that the process stood still, and distrusts what it reads just after."""

    def __init__(self) -> None:
        self._last: float | None = None
        self._gap_from: float | None = None
        self._resumed = 0.0

    def observe(self, now: float) -> bool:
        """Note a call; return whether a pause has just ended."""
        last = self._last
        self._last = now
        if last is None or now - last <= const.INPUT_GAP_S:
            return False
        if self._gap_from is None or last - self._resumed > const.PAUSE_SETTLE_S:
            self._gap_from = last
        self._resumed = now
        return now - last > const.PAUSE_GAP_S

    def input_age(self, now: float) -> float:
        """Return how long, at most, input that is read now may have waited."""
        if self._gap_from is None:
            return 0.0
        if now - self._resumed > const.PAUSE_SETTLE_S:
            self._gap_from = None
            return 0.0
        return now - self._gap_from
