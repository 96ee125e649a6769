"""Failure detection between hosts: direct and indirect probes, suspicion, loss."""

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
    """A probe that waits for its answer."""

    target: HostId
    number: int
    started: float
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class ProbeDirectly:
    """Command: ping a host."""

    target: HostId
    number: int


@dataclass(frozen=True, slots=True)
class ProbeThrough:
    """Command: ask a host to ping another."""

    helper: HostId
    target: HostId
    number: int


ProbeCommand = ProbeDirectly | ProbeThrough


class ProbeSystem:
    """Probes one host each period and suspects those that don't answer."""

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

    def restart(self, now: float) -> None:
        """Forget open probes after a pause, whose answers could not be heard.

        Suspicion counts anew, else this host's own pause would cost others their standing.
        """
        self._probe = None
        self._next_period = now
        for entry in self._hosts.host_by_id.values():
            if entry.state is HostState.SUSPECT:
                entry.since = now

    def next_number(self) -> int:
        """Return a number for a probe that no other open probe has."""
        self._number += 1
        return self._number

    def acknowledged(self, target: HostId, number: int) -> None:
        """Note that a probed host has answered."""
        probe = self._probe
        if probe is not None and (probe.target, probe.number) == (target, number):
            self._probe = None

    def tick(self, now: float) -> list[ProbeCommand]:
        """Return the probes that are due and move suspicion on."""
        commands = self._continue_probe(now)
        self._expire_suspicion(now)
        if now >= self._next_period:
            self._next_period = now + self._settings.probe_period_s
            commands.extend(self._end_period(now))
        commands.extend(self._probe_lost(now))
        return commands

    def _continue_probe(self, now: float) -> list[ProbeCommand]:
        """Turn to other hosts where the direct probe had no answer in time."""
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
        return [ProbeThrough(helper, probe.target, probe.number) for helper in chosen]

    def _end_period(self, now: float) -> list[ProbeCommand]:
        """Suspect the host that didn't answer and start the next probe."""
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
        return [ProbeDirectly(target, self._probe.number)]

    def _suspect(self, host_id: HostId, now: float) -> None:
        """Hold a host for suspect, unless it already is."""
        entry = self._hosts.host_by_id.get(host_id)
        if entry is None or entry.state is not HostState.ALIVE:
            return
        self._hosts.set_state(entry, HostState.SUSPECT, now)
        self._on_changed(entry)

    def _expire_suspicion(self, now: float) -> None:
        """Hold suspects for lost once their time to refute is over."""
        for entry in self._hosts.host_by_id.values():
            if entry.state is not HostState.SUSPECT:
                continue
            if now - entry.since >= self._settings.suspicion_timeout_s:
                self._hosts.set_state(entry, HostState.LOST, now)
                self._on_changed(entry)

    def _next_target(self) -> HostId | None:
        """Return the next host in a shuffled round, which bounds the time between probes."""
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
        """Ping lost hosts now and then, so that a healed partition is noticed."""
        if now < self._next_lost_probe:
            return []
        self._next_lost_probe = now + const.LOST_PROBE_PERIOD_S
        return [
            ProbeDirectly(host_id, self.next_number())
            for host_id, entry in self._hosts.host_by_id.items()
            if entry.state is HostState.LOST
        ]
