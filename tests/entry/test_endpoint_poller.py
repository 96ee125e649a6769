"""Load reports and cache events reach the scheduler, and gaps are reported."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from entry_client import chat_prompt
from entry_cluster import Cluster, async_wait_until

from lagoonwing_core.clock import ManualClock
from lagoonwing_entry._endpoint_poller import EndpointPoller
from lagoonwing_entry._parsing import model_work, parse_completion
from lagoonwing_entry.models import CacheEvent, CompletionKind, LoadReport
from lagoonwing_fakes import FakeKind
from lagoonwing_fakes.tokens import prefix_digests
from lagoonwing_policy.models import EndpointLoad


@dataclass
class RecordingScheduler:
    """Records what is reported."""

    loads: list[EndpointLoad] = field(default_factory=list)
    reports: list[Any] = field(default_factory=list)

    def report_load(self, load: EndpointLoad) -> None:
        """Record a load report."""
        self.loads.append(load)

    def report_prefix(self, endpoint_id: Any, prefix_hash: str, held: bool) -> None:
        """Record a cache event."""
        self.reports.append(prefix_hash)

    def report_cache_gap(self, endpoint_id: Any) -> None:
        """Record a gap."""
        self.reports.append("gap")


class FakeAdapter:
    """Returns the given events after the requested number."""

    def __init__(self, numbers: list[int]) -> None:
        self.numbers = numbers

    async def async_load(self, target: Any) -> LoadReport:
        """Return a load report."""
        return LoadReport(1, 2, 3)

    async def async_cache_events(self, target: Any, after: int) -> tuple[CacheEvent, ...]:
        """Return the events."""
        return tuple(CacheEvent(n, f"p{n}", True) for n in self.numbers if n > after)


async def test_cache_event_gaps_are_reported_and_events_handled_once(cluster: Cluster) -> None:
    """A missing event number is reported as a gap before the event that follows it."""
    fake = await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    host = await cluster.async_add_host()
    await cluster.async_announce(fake)
    scheduler = RecordingScheduler()
    adapter: Any = FakeAdapter([1, 2, 4])
    port: Any = scheduler
    poller = EndpointPoller(adapter, port, host.entry.directory, ManualClock(), 1.0)
    records = list(host.entry.directory.records())
    await poller.async_poll_endpoints(records)
    await poller.async_poll_endpoints(records)
    adapter.numbers.append(5)
    await poller.async_poll_endpoints(records)
    assert scheduler.reports == ["p1", "p2", "gap", "p4", "p5"]
    assert [load.queued for load in scheduler.loads] == [2, 2, 2]


async def test_prefix_digests_match_those_of_fake_endpoints(cluster: Cluster) -> None:
    """Cache events after a long prompt carry the prefix digests that the scheduler looks up."""
    prompt = "long shared preamble " * 60
    body = f'{{"model": "m1", "messages": [{{"role": "user", "content": "{prompt}"}}]}}'
    call = parse_completion(CompletionKind.CHAT, body.encode()).ok
    hashes = model_work(call).prefix_hashes
    assert len(hashes) >= 4
    assert list(hashes) == prefix_digests(chat_prompt(prompt))
    host = await cluster.async_add_host()
    fake = await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    await host.async_chat(prompt)
    await async_wait_until(lambda: fake.engine.cache_events(0))
    assert [digest for _, digest in fake.engine.cache_events(0)] == list(hashes)
