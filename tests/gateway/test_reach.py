"""What a gateway concludes when endpoints do not answer it, and what it tells others of them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import cast

import pytest
from reach_support import CatalogStandIn, make_endpoint

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import EndpointId, ServiceId
from lagoonwing_gateway._answer_times import AnswerTimes
from lagoonwing_gateway._directory import EndpointDirectory
from lagoonwing_gateway._follower import CatalogFollower
from lagoonwing_gateway._reach import ReachMonitor
from lagoonwing_gateway._suspicions import SuspicionTracker
from lagoonwing_gateway.models import FailureEvidence

CUT, SOUND = ServiceId("cut"), ServiceId("sound")
# Bound within which the users want a cut to be noticed and ended, and the aim of this project.
NOTICED_S = 4.0
AIM_S = 1.0
# Time that a probe waits for an answer.
SILENT_PROBE_S = 0.5


class _Gateway:
    """What a gateway knows of eight endpoints of each of two services.

    Attributes:
        answering: Endpoints that answer this gateway.
        is_refused: Whether the others refuse connections; otherwise they are silent.
        is_broken: Whether probes end in an error.
    """

    def __init__(self, count: int = 8) -> None:
        self.clock = LoopClock()
        records = [
            make_endpoint(service, number, 1_000 + number)
            for service in (CUT, SOUND)
            for number in range(count)
        ]
        self.follower = CatalogStandIn({record.endpoint_id: record for record in records})
        self.suspicions = SuspicionTracker(self.clock)
        self.directory = EndpointDirectory(
            cast(CatalogFollower, self.follower), self.suspicions, self.clock
        )
        self.follower.on_change()
        self.answering = set(self.follower.endpoint_by_id)
        self.is_refused = True
        self.is_broken = False
        self.probes = 0
        self.answer_times = AnswerTimes(self.clock)
        self.reach = ReachMonitor(
            self.directory,
            self.suspicions,
            self.answer_times,
            self.clock,
            random.Random(1),
            self._async_probe,
        )
        self.changes: list[float] = []
        self.reach.add_listener(lambda: self.changes.append(self.clock.now()))
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> _Gateway:
        """Start."""
        self._task = asyncio.ensure_future(self.reach.async_run())
        return self

    async def __aexit__(self, *error: object) -> None:
        """Stop."""
        assert self._task is not None
        self._task.cancel()
        await self.reach.async_unload()

    def ids(self, service_id: ServiceId) -> list[EndpointId]:
        """Return the endpoints of a service."""
        return list(self.directory.entry_ids(service_id))

    def cut(self, service_id: ServiceId, *, is_refused: bool = True) -> None:
        """Lose all endpoints of a service."""
        self.answering.difference_update(self.ids(service_id))
        self.is_refused = is_refused

    def heal(self) -> None:
        """Reach all endpoints again."""
        self.answering.update(self.follower.endpoint_by_id)

    def fail(self, endpoint_ids: Iterable[EndpointId]) -> None:
        """Fail to connect to endpoints."""
        for endpoint_id in endpoint_ids:
            evidence = FailureEvidence.REFUSED if self.is_refused else FailureEvidence.SILENT
            self.suspicions.record_failure(endpoint_id, "no connection", evidence)

    async def async_until(self, condition: Callable[[], bool]) -> float:
        """Wait until a condition holds; return the time that took."""
        started_at = self.clock.now()
        async with asyncio.timeout(2 * NOTICED_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        return self.clock.now() - started_at

    async def _async_probe(self, record: EndpointRecord) -> bool:
        """Probe an endpoint."""
        self.probes += 1
        if self.is_broken:
            raise ValueError("a line of the request has a line break")
        if record.endpoint_id in self.answering:
            return True
        if not self.is_refused:
            await asyncio.sleep(SILENT_PROBE_S)
        return False


@pytest.mark.looptime
async def test_failures_of_one_endpoint_are_no_cut() -> None:
    """An endpoint that has crashed is suspected; its service stays reachable."""
    async with _Gateway() as gateway:
        gateway.answering.discard(gateway.ids(CUT)[0])
        for _ in range(50):
            gateway.fail(gateway.ids(CUT)[:1])
            await asyncio.sleep(0.1)
        assert gateway.reach.unreachable_services() == ()
        assert gateway.probes <= 2 * 5 + 2


@pytest.mark.looptime
@pytest.mark.parametrize("is_refused", [True, False])
async def test_cut_is_noticed_and_ends(*, is_refused: bool) -> None:
    """A service is unreachable soon after its endpoints are lost, and the other one never is."""
    async with _Gateway() as gateway:
        gateway.cut(CUT, is_refused=is_refused)
        gateway.fail(gateway.ids(CUT)[:1])
        noticed_s = await gateway.async_until(lambda: gateway.reach.is_unreachable(CUT))
        assert noticed_s <= AIM_S
        assert not gateway.reach.is_unreachable(SOUND)
        await asyncio.sleep(NOTICED_S)
        assert gateway.reach.unreachable_services() == (CUT,)
        gateway.heal()
        assert await gateway.async_until(lambda: not gateway.reach.is_unreachable(CUT)) <= AIM_S


@pytest.mark.looptime
async def test_silence_without_any_failure_is_noticed() -> None:
    """Connections may be accepted while nothing passes: then only answers are missing."""
    async with _Gateway() as gateway:
        gateway.cut(CUT, is_refused=False)
        with gateway.answer_times.waiting(CUT, gateway.clock.now()):
            noticed_s = await gateway.async_until(lambda: gateway.reach.is_unreachable(CUT))
        assert noticed_s <= NOTICED_S / 2


@pytest.mark.looptime
async def test_service_that_answers_slowly_is_reached() -> None:
    """A call may take seconds while its endpoint answers others at once."""
    async with _Gateway() as gateway:
        with gateway.answer_times.waiting(CUT, gateway.clock.now()):
            await asyncio.sleep(2 * NOTICED_S)
        assert gateway.changes == []


@pytest.mark.looptime
async def test_cut_that_comes_and_goes_does_not_flap() -> None:
    """A link that works half of the time is not trusted at each of its good moments."""
    async with _Gateway() as gateway:
        for _ in range(40):
            gateway.cut(CUT)
            gateway.fail(gateway.ids(CUT)[:2])
            await asyncio.sleep(0.25)
            gateway.heal()
            await asyncio.sleep(0.25)
        assert len(gateway.changes) <= 8


@pytest.mark.looptime
async def test_unreachable_service_costs_few_probes() -> None:
    """The cost of a cut does not grow with the requests that fail."""
    async with _Gateway() as gateway:
        gateway.cut(CUT)
        for _ in range(100):
            gateway.fail(gateway.ids(CUT))
            await asyncio.sleep(0.1)
        assert gateway.probes <= 8 + 8 * 10 / 0.25


@pytest.mark.looptime
async def test_gateway_that_is_cut_off_spreads_no_suspicion() -> None:
    """Others would avoid sound endpoints; an endpoint of a service that is reached is reported."""
    async with _Gateway() as gateway:
        gateway.cut(CUT)
        gateway.fail([*gateway.ids(CUT), gateway.ids(SOUND)[0]])
        withheld = gateway.reach.doubtful_services()
        assert not set(gateway.directory.reported_suspects(withheld)) & set(gateway.ids(CUT))
        await gateway.async_until(lambda: gateway.reach.is_unreachable(CUT))
        withheld = gateway.reach.doubtful_services()
        assert gateway.directory.reported_suspects(withheld) == (gateway.ids(SOUND)[0],)


@pytest.mark.looptime
async def test_suspicions_of_a_cut_end_with_it() -> None:
    """Endpoints that could not be reached get requests as soon as they can be."""
    async with _Gateway() as gateway:
        gateway.cut(CUT)
        gateway.fail([*gateway.ids(CUT), gateway.ids(SOUND)[0]])
        await gateway.async_until(lambda: gateway.reach.is_unreachable(CUT))
        gateway.heal()
        await gateway.async_until(lambda: not gateway.reach.is_unreachable(CUT))
        assert gateway.suspicions.suspected() == (gateway.ids(SOUND)[0],)
        assert all(gateway.suspicions.is_usable(endpoint_id) for endpoint_id in gateway.ids(CUT))


@pytest.mark.looptime
async def test_hung_requests_are_no_load_at_other_gateways() -> None:
    """Requests that never arrived take no place at their endpoints."""
    async with _Gateway() as gateway:
        gateway.cut(CUT)
        gateway.fail(gateway.ids(CUT))
        await gateway.async_until(lambda: gateway.reach.is_unreachable(CUT))
        load = EndpointLoad(5, 0, 0)
        own = {gateway.ids(CUT)[0]: load, gateway.ids(SOUND)[0]: load}
        reported = gateway.directory.without_services(own, gateway.reach.unreachable_services())
        assert reported == {gateway.ids(SOUND)[0]: load}


@pytest.mark.looptime
async def test_answers_on_kept_connections_do_not_hide_a_cut() -> None:
    """Connections that are open may live on while new ones are refused."""
    async with _Gateway() as gateway:
        gateway.cut(CUT)
        for number in range(10):
            gateway.answer_times.record_answer(CUT, is_reused=True)
            gateway.fail(gateway.ids(CUT)[number % 2 : number % 2 + 1])
            await asyncio.sleep(0.1)
        assert gateway.reach.is_unreachable(CUT)


@pytest.mark.looptime
async def test_probes_that_end_in_an_error_end_with_the_error() -> None:
    """A health path that can't be sent makes no service unreachable for ever."""
    async with _Gateway() as gateway:
        gateway.is_broken = True
        gateway.fail(gateway.ids(CUT)[:1])
        await gateway.async_until(lambda: gateway.reach.is_unreachable(CUT))
        await asyncio.sleep(1.0)
        gateway.is_broken = False
        assert await gateway.async_until(lambda: not gateway.reach.is_unreachable(CUT)) <= AIM_S
