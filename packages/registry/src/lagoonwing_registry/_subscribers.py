"""Gateways that follow the catalog at this replica, and the loads that they share."""

from __future__ import annotations

from collections import Counter as Tally
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lagoonwing_catalog import CatalogStateMachine
from lagoonwing_catalog.messages import (
    Delta,
    EndpointLoad,
    Freshness,
    LoadReport,
    LoadSummary,
    ReplicaLoad,
)
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId, Fingerprint, HostId, Revision
from lagoonwing_registry.const import GATEWAY_SILENCE_S
from lagoonwing_wire import Channel

_NOTHING = LoadReport({})


@dataclass(slots=True)
class _Subscriber:
    """One gateway.

    Attributes:
        pushed: Last revision sent to it.
        report: Work that it has in flight.
    """

    pushed: Revision
    heard_at: float
    report: LoadReport = _NOTHING


@dataclass(slots=True)
class _Remote:
    """Loads at another replica."""

    load: ReplicaLoad
    heard_at: float


@dataclass(slots=True)
class LoadTotals:
    """Sum of loads that can be added to and taken from."""

    sequences_by_id: dict[EndpointId, int] = field(default_factory=dict)
    kv_by_id: dict[EndpointId, int] = field(default_factory=dict)
    read_by_id: dict[EndpointId, int] = field(default_factory=dict)

    def add(self, load_by_id: dict[EndpointId, EndpointLoad], sign: int = 1) -> None:
        """Add loads, or take them away."""
        for endpoint_id, load in load_by_id.items():
            for table, amount in (
                (self.sequences_by_id, load.sequences),
                (self.kv_by_id, load.kv_token_layers),
                (self.read_by_id, load.prefill_ms),
            ):
                table[endpoint_id] = table.get(endpoint_id, 0) + sign * amount

    def loads(self) -> dict[EndpointId, EndpointLoad]:
        """Return the loads that are not nothing."""
        return {
            endpoint_id: EndpointLoad(
                sequences, self.kv_by_id[endpoint_id], self.read_by_id[endpoint_id]
            )
            for endpoint_id, sequences in self.sequences_by_id.items()
            if sequences or self.kv_by_id[endpoint_id] or self.read_by_id[endpoint_id]
        }


class Subscribers:
    """Pushes changes and loads to gateways."""

    def __init__(
        self, state_machine: CatalogStateMachine, age: Callable[[], float], clock: Clock
    ) -> None:
        self._state_machine = state_machine
        self._age = age
        self._clock = clock
        self._subscriber_by_channel: dict[Channel[Any], _Subscriber] = {}
        self._remote_by_host: dict[HostId, _Remote] = {}

    @callback
    def add(self, channel: Channel[Any], after: Revision) -> None:
        """Begin to push every change after a revision."""
        self._subscriber_by_channel[channel] = _Subscriber(after, self._clock.now())
        self._push_changes(channel)

    @callback
    def remove(self, channel: Channel[Any]) -> None:
        """Forget a gateway whose channel has ended."""
        self._subscriber_by_channel.pop(channel, None)

    @callback
    def take_report(self, channel: Channel[Any], report: LoadReport) -> None:
        """Take the work of a gateway."""
        subscriber = self._subscriber_by_channel.get(channel)
        if subscriber is not None:
            subscriber.report = report
            subscriber.heard_at = self._clock.now()

    @callback
    def take_remote(self, host_id: HostId, load: ReplicaLoad) -> None:
        """Take the work of the gateways at another replica."""
        self._remote_by_host[host_id] = _Remote(load, self._clock.now())

    def gateways(self) -> int:
        """Return how many gateways are alive, as far as this replica knows."""
        remote = sum(one.load.gateways for one in self._remote_by_host.values())
        return len(self._subscriber_by_channel) + remote

    @callback
    def push_changes(self) -> None:
        """Push what is new to every gateway."""
        for channel in list(self._subscriber_by_channel):
            self._push_changes(channel)

    @callback
    def push_loads(self) -> ReplicaLoad:
        """Push to each gateway what the others have in flight; return the sum at this replica."""
        now = self._clock.now()
        self._drop_silent(now)
        own = LoadTotals()
        for subscriber in self._subscriber_by_channel.values():
            own.add(subscriber.report.load_by_id)
        own_load = ReplicaLoad(
            len(self._subscriber_by_channel), own.loads(), self._suspects(), self._crashes()
        )
        remotes = [one.load for one in self._remote_by_host.values()]
        suspects = _merge(own_load.suspects, *(load.suspects for load in remotes))
        crashes = Tally(own_load.crashes_by_request)
        for load in remotes:
            crashes.update(load.crashes_by_request)
        current = Freshness(self._state_machine.state.revision, self._age(), self.gateways())
        for load in remotes:
            own.add(load.load_by_id)
        for channel, subscriber in list(self._subscriber_by_channel.items()):
            own.add(subscriber.report.load_by_id, -1)
            channel.push(current)
            others = crashes - Tally(subscriber.report.crashes_by_request)
            channel.push(LoadSummary(own.loads(), suspects, dict(others)))
            own.add(subscriber.report.load_by_id)
        return own_load

    def _suspects(self) -> tuple[EndpointId, ...]:
        """Return the endpoints that a gateway here suspects."""
        return _merge(*(one.report.suspects for one in self._subscriber_by_channel.values()))

    def _crashes(self) -> dict[Fingerprint, int]:
        """Return how many endpoints died of requests, as the gateways here have seen it."""
        crashes: Tally[Fingerprint] = Tally()
        for subscriber in self._subscriber_by_channel.values():
            crashes.update(subscriber.report.crashes_by_request)
        return dict(crashes)

    def _drop_silent(self, now: float) -> None:
        """Close the channels of silent gateways and forget silent replicas."""
        for channel, subscriber in list(self._subscriber_by_channel.items()):
            if now > subscriber.heard_at + GATEWAY_SILENCE_S:
                channel.close()
                self.remove(channel)
        for host_id, remote in list(self._remote_by_host.items()):
            if now > remote.heard_at + GATEWAY_SILENCE_S:
                del self._remote_by_host[host_id]

    def _push_changes(self, channel: Channel[Any]) -> None:
        """Push what one gateway has not got yet."""
        subscriber = self._subscriber_by_channel[channel]
        state = self._state_machine.state
        if state.revision <= subscriber.pushed:
            return
        is_full = subscriber.pushed == 0 or subscriber.pushed < state.last_evicted
        after = Revision(0) if is_full else subscriber.pushed
        document = None
        if state.stored is not None and state.stored.revision > after:
            document = state.stored.compressed_document
        delta = Delta(state.revision, is_full, document, state.changed_after(after))
        if channel.push(delta):
            subscriber.pushed = state.revision


def _merge(*groups: tuple[Any, ...]) -> tuple[Any, ...]:
    """Return what any group holds, once."""
    return tuple(sorted({one for group in groups for one in group}))
