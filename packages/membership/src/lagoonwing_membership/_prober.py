"""Failure detector between hosts: direct and indirect probes, suspicion and loss."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from lagoonwing_core.ids import HostId
from lagoonwing_membership import const
from lagoonwing_membership._hosts import HostEntry, HostTable
from lagoonwing_membership.models import HostState, MembershipSettings


@dataclass(slots=True)
class Probe:
    """Outstanding probe."""

    target: HostId
    number: int
    started: float
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class DirectProbe:
    """Command: ping a host."""

    target: HostId
    number: int


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Command: ask a helper host to ping the target."""

    helper: HostId
    target: HostId
    number: int


ProbeCommand = DirectProbe | IndirectProbe


class Prober:
    """Probes one host per period and suspects hosts that don't answer."""

    def __init__(
        self,
        hosts: HostTable,
        settings: MembershipSettings,
        rng: random.Random,
        on_changed: Callable[[HostEntry], None],
    ) -> None:
        self._hosts = hosts
        self._settings = settings
        self._rng = rng
        self._on_changed = on_changed
        self._order: list[HostId] = []
        self._probe: Probe | None = None
        self._next_period = 0.0
        self._next_lost_probe = 0.0
        self._number = 0

    def reset(self, now: float) -> None:
        """Drop the outstanding probe after a pause, as its ack could not be read in time.

        Suspicion timeouts start over; otherwise a pause of this host would mark others as lost.
        """
        self._probe = None
        self._next_period = now
        for entry in self._hosts.host_by_id.values():
            if entry.state is HostState.SUSPECT:
                entry.since = now

    def next_number(self) -> int:
        """Return a probe number that is not in use."""
        self._number += 1
        return self._number

    def acknowledged(self, target: HostId, number: int) -> None:
        """Close the outstanding probe if the ack matches it."""
        probe = self._probe
        if probe is not None and (probe.target, probe.number) == (target, number):
            self._probe = None

    def tick(self, now: float) -> list[ProbeCommand]:
        """Return the probes that are due and expire suspicions."""
        commands = self._start_indirect_probe(now)
        self._expire_suspicion(now)
        if now >= self._next_period:
            self._next_period = now + self._settings.probe_period_s
            commands.extend(self._end_period(now))
        commands.extend(self._probe_lost(now))
        return commands

    def _start_indirect_probe(self, now: float) -> list[ProbeCommand]:
        """Probe through helper hosts if the direct probe timed out."""
        probe = self._probe
        if probe is None or probe.indirect:
            return []
        if now - probe.started < self._settings.probe_timeout_s:
            return []
        probe.indirect = True
        helpers = [
            entry.address.host_id
            for entry in self._hosts.reachable()
            if entry.address.host_id != probe.target
        ]
        chosen = self._rng.sample(helpers, min(const.INDIRECT_PROBES, len(helpers)))
        return [IndirectProbe(helper, probe.target, probe.number) for helper in chosen]

    def _end_period(self, now: float) -> list[ProbeCommand]:
        """Suspect the host that did not answer and start the next probe."""
        probe = self._probe
        if probe is not None and now - probe.started < self._settings.probe_end_s:
            return []
        if probe is not None:
            self._suspect(probe.target, now)
        target = self._next_target()
        if target is None:
            self._probe = None
            return []
        self._probe = Probe(target, self.next_number(), now)
        return [DirectProbe(target, self._probe.number)]

    def _suspect(self, host_id: HostId, now: float) -> None:
        """Mark a host as suspect if it is alive."""
        entry = self._hosts.host_by_id.get(host_id)
        if entry is None or entry.state is not HostState.ALIVE:
            return
        self._hosts.set_state(entry, HostState.SUSPECT, now)
        self._on_changed(entry)

    def _expire_suspicion(self, now: float) -> None:
        """Mark suspects as lost once the suspicion timeout has passed."""
        for entry in self._hosts.host_by_id.values():
            if entry.state is not HostState.SUSPECT:
                continue
            if now - entry.since >= self._settings.suspicion_timeout_s:
                self._hosts.set_state(entry, HostState.LOST, now)
                self._on_changed(entry)

    def _next_target(self) -> HostId | None:
        """Return the next host in a shuffled round, which bounds the interval between probes."""
        while True:
            if not self._order:
                self._order = [entry.address.host_id for entry in self._hosts.reachable()]
                self._rng.shuffle(self._order)
            if not self._order:
                return None
            host_id = self._order.pop()
            entry = self._hosts.host_by_id.get(host_id)
            if entry is not None and entry.state is not HostState.LOST:
                return host_id

    def _probe_lost(self, now: float) -> list[ProbeCommand]:
        """Ping lost hosts periodically to detect a healed partition."""
        if now < self._next_lost_probe:
            return []
        self._next_lost_probe = now + const.LOST_PROBE_PERIOD_S
        return [
            DirectProbe(host_id, self.next_number())
            for host_id, entry in self._hosts.host_by_id.items()
            if entry.state is HostState.LOST
        ]
