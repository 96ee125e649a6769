"""Periodic contacts with the leader, and what it reported last."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from expression import Result

from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import HostId, Incarnation, StopId, Term
from lagoonwing_follower._leader_link import LeaderLink
from lagoonwing_follower._publisher import ViewPublisher
from lagoonwing_follower._releases import PendingReleases
from lagoonwing_follower.const import (
    CONTACT_INTERVAL_S,
    CONTACT_TIMEOUT_S,
    LEADER_TIMEOUT_S,
    RETRY_INTERVAL_S,
)
from lagoonwing_wire.control_messages import Contact, ContactReply, EndpointSummary


class LeaderContacts:
    """Reports this entry host's state to the leader and checks the leader's replies.

    Attributes:
        endpoints: Endpoints that this entry host knows.
        voters: Voting replicas as reported by the last leader.
        leader_host: Host of the leader, `None` if it has not answered recently.
        is_answered: Whether a leader answered the last contact.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        clock: Clock,
        links: LeaderLink,
        releases: PendingReleases,
        publisher: ViewPublisher,
        on_reply: Callable[[float, ContactReply], None],
        on_leader_changed: Callable[[], None],
    ) -> None:
        self.endpoints: tuple[EndpointSummary, ...] = ()
        self.voters: tuple[HostId, ...] = ()
        self.leader_host: HostId | None = None
        self.is_answered = False
        self._incarnation = incarnation
        self._clock = clock
        self._links = links
        self._releases = releases
        self._publisher = publisher
        self._on_reply = on_reply
        self._on_leader_changed = on_leader_changed
        self._term = Term(0)
        self._last_contact: float | None = None
        self._in_flight_by_stop: dict[StopId, int] = {}
        self._endpoints_sent: tuple[Term, tuple[EndpointSummary, ...]] | None = None
        self._contact_now = asyncio.Event()

    @property
    def was_ever_answered(self) -> bool:
        """Whether a leader has answered since startup."""
        return self._last_contact is not None

    @callback
    def has_leader(self) -> bool:
        """Return whether a leader answered the last contact."""
        if self._last_contact is None or not self.is_answered:
            return False
        return self._clock.now() - self._last_contact < LEADER_TIMEOUT_S

    @callback
    def contact_now(self) -> None:
        """Contact the leader without waiting for the next interval."""
        self._contact_now.set()

    @callback
    def report_stop(self, stop_id: StopId, in_flight: int) -> None:
        """Report how many requests are in flight on a stop's target."""
        changed = self._in_flight_by_stop.get(stop_id) != in_flight
        self._in_flight_by_stop[stop_id] = in_flight
        if changed and in_flight == 0:
            self._contact_now.set()

    async def async_run(self) -> None:
        """Contact the leader periodically, and at once when requested."""
        while True:
            self._contact_now.clear()
            answered = await self._async_contact()
            self.is_answered = answered
            if answered:
                await self._releases.async_send()
            delay = CONTACT_INTERVAL_S if answered else RETRY_INTERVAL_S
            try:
                async with asyncio.timeout(delay):
                    await self._contact_now.wait()
            except TimeoutError:
                continue
            if not answered:
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _async_contact(self) -> bool:
        """Contact the leader once; return whether it replied."""
        sent = self._clock.now()
        endpoints = self.endpoints
        target = self._links.target
        already_sent = (self._term, endpoints) == self._endpoints_sent
        message = Contact(
            incarnation=self._incarnation,
            term=self._term,
            applied=self._publisher.view.revision,
            in_flight_by_stop=self._live_stop_reports(),
            endpoints=None if already_sent else endpoints,
        )
        result = await self._links.async_call_once(message, CONTACT_TIMEOUT_S)
        match result:
            case Result(tag="ok", ok=ContactReply() as reply):
                self._handle_reply(target, sent, reply)
                # A new leader needs the endpoints again.
                self._endpoints_sent = (message.term, endpoints)
                return True
            case _:
                if self._last_contact is None or sent - self._last_contact > LEADER_TIMEOUT_S:
                    self.leader_host = None
                return False

    def _handle_reply(self, host_id: HostId, sent: float, reply: ContactReply) -> None:
        """Apply a leader's reply."""
        if reply.term < self._term:
            return
        revision = self._publisher.view.revision
        if reply.revision < max(revision, self._publisher.min_revision):
            # A state that has lost revisions must not be applied.
            log_event(
                EventCode.CONFIGURATION_LEASE_LAPSED,
                revision=revision,
                leader=host_id,
                reason=f"leader revision {reply.revision} is lower than the applied revision",
            )
            return
        self._term = reply.term
        self.voters = reply.voters
        self._last_contact = sent
        self._on_reply(sent, reply)
        if self.leader_host != host_id:
            self.leader_host = host_id
            self._on_leader_changed()

    def _live_stop_reports(self) -> dict[StopId, int]:
        """Return the reports of stops in the current view and drop the others."""
        known = self._in_flight_by_stop
        live = self._publisher.view.stop_by_id
        self._in_flight_by_stop = {stop: known[stop] for stop in known if stop in live}
        return dict(self._in_flight_by_stop)
