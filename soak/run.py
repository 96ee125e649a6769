"""One seeded run: load with overlapping faults, a recovery period, then the checks."""

from __future__ import annotations

import asyncio
import random
import signal
import tempfile
from collections import defaultdict
from collections.abc import Collection
from pathlib import Path

from lagoonwing_fakes.builds import Build, prepare_build
from lagoonwing_fakes.platform import make_processes
from lagoonwing_fakes.platform.const import PEER_PORT
from soak.callers import Callers
from soak.const import (
    CALLERS,
    CRASHING_PART_S,
    ENDPOINTS,
    ENGINES,
    GATEWAYS,
    PAUSES_S,
    RECOVERY_S,
    REGISTRIES,
    START_TIMEOUT_S,
)
from soak.endpoints import SoakEndpoint
from soak.faults import Faults
from soak.faulty_answers import DEFAULT_ANSWER_FAULTS, AnswerFault
from soak.faulty_callers import FAULTY_ENDPOINTS, FAULTY_ENGINES, FaultyAnswersPlay
from soak.gateway_cuts import GatewayCuts
from soak.kept_callers import KEPT_CALLERS, KeptCaller
from soak.models import Outcome, Scenario, SoakContext
from soak.named_limits import LIMIT, LIMITS_S, limit_violations
from soak.notices import Notices
from soak.operators import Operators
from soak.proxy import Proxy
from soak.second_answers import SECOND_ANSWERS_S
from soak.upgrades import (
    DEFAULT_OLD_REVISION,
    LONG_EVENT_PAUSE_S,
    Upgrades,
    mix_builds,
    unread_messages,
)


class SoakRun:
    """Sets up, runs and checks one seed."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: Path,
        scenario: Scenario = Scenario.NONE,
        answer_faults: Collection[AnswerFault] = DEFAULT_ANSWER_FAULTS,
        old_revision: str = DEFAULT_OLD_REVISION,
        *,
        is_mixed: bool = False,
    ) -> None:
        """Prepare a run.

        Args:
            seed: Seed of all random choices.
            seconds: Duration of fault injection.
            folder: Folder for settings, data and logs.
            scenario: What happens beside or after the random faults.
            answer_faults: Faults of the scenario of faulty answers.
            old_revision: Commit of the older build in upgrades and mixed fleets.
            is_mixed: Whether some of the processes run the older build all the time.
        """
        rng = random.Random(seed)
        processes = make_processes(
            folder, 1 + seed % 200, REGISTRIES, GATEWAYS, behind_proxies=True
        )
        self._seconds = seconds
        self._scenario = scenario
        self._answer_faults = answer_faults
        self.context = SoakContext(rng, Outcome(seed), processes)
        self.context.proxies = [
            Proxy(item.address, item.listen_address, PEER_PORT, rng)
            for item in processes.registries
        ]
        if scenario in (Scenario.CUT_GATEWAYS, Scenario.NOTICES, Scenario.UPGRADES):
            self.context.cuts = GatewayCuts(processes)
        self._upgrades: Upgrades | None = None
        if scenario is Scenario.UPGRADES:
            self._upgrades = Upgrades(self.context, _require_build(old_revision))
            self._upgrades.start_old()
        self._has_two_builds = is_mixed or scenario is Scenario.UPGRADES
        if is_mixed:
            mix_builds(processes, _require_build(old_revision), seed)
        self._callers = Callers(self.context)
        self.operators = Operators(self.context)
        self._faults = Faults(self.context)
        self._tasks: list[asyncio.Task[None]] = []

    async def async_run(self) -> Outcome:
        """Run load and faults, wait for recovery and check the guarantees."""
        if self._scenario is Scenario.FAULTY_ANSWERS:
            return await self._async_run_faulty_answers()
        loop = asyncio.get_running_loop()
        try:
            await self.async_start()
            self._tasks = [
                loop.create_task(self._callers.async_send_requests()) for _ in range(CALLERS)
            ]
            self._tasks += [
                loop.create_task(self.operators.async_announce_periodically()),
                loop.create_task(self.operators.async_write_and_read()),
                loop.create_task(self._faults.async_supervise()),
            ]
            faults = [loop.create_task(self._faults.async_inject()) for _ in range(2)]
            if self.context.cuts is not None:
                faults.append(loop.create_task(self._faults.async_cut_gateways()))
            if self._scenario in (Scenario.NOTICES, Scenario.UPGRADES):
                faults.append(loop.create_task(Notices(self.context).async_run()))
            if self._upgrades is not None:
                faults += self._start_upgrades(self._upgrades)
            await asyncio.sleep(self._seconds)
            for task in faults:
                task.cancel()
            await asyncio.gather(*faults, return_exceptions=True)
            await self._async_check_recovery()
            await self._async_play_scenario()
        finally:
            await self.async_stop()
        self._callers.check_runs()
        self.context.outcome.violations += self.context.notices.violations()
        if self._has_two_builds:
            self.context.outcome.violations += unread_messages(self.context.processes)
        return self.context.outcome

    def _start_upgrades(self, upgrades: Upgrades) -> list[asyncio.Task[None]]:
        """Start the upgrades and what goes with them; return the tasks that end with the faults."""
        context = self.context
        for endpoint in context.endpoints[::2]:
            endpoint.event_pause_s = LONG_EVENT_PAUSE_S
        loop = asyncio.get_running_loop()
        self._tasks += [
            loop.create_task(KeptCaller(context, number).async_run())
            for number in range(KEPT_CALLERS)
        ]
        return [
            loop.create_task(upgrades.async_run()),
            loop.create_task(self.operators.async_send_clashes()),
        ]

    async def _async_run_faulty_answers(self) -> Outcome:
        """Run callers of endpoints with faulty answers and check the guarantees."""
        try:
            await self.async_start(FAULTY_ENDPOINTS, FAULTY_ENGINES)
            play = FaultyAnswersPlay(self.context, self._answer_faults)
            announcements = self.operators.async_announce_periodically(may_drain=False)
            self._tasks = [asyncio.ensure_future(announcements)]
            await play.async_run(self._seconds)
        finally:
            await self.async_stop()
        play.check_runs()
        return self.context.outcome

    async def async_start(self, plain: int = ENDPOINTS, engines: int = ENGINES) -> None:
        """Start endpoints, proxies and processes; wait until a document is accepted."""
        context = self.context
        for number in range(plain + engines):
            service = "plain" if number < plain else "engines"
            endpoint = SoakEndpoint(f"e-{number}", service, context.requests, context.rng)
            endpoint.cuts = context.cuts
            await endpoint.async_setup()
            context.endpoints.append(endpoint)
        for proxy in context.proxies:
            await proxy.async_setup()
        for process in context.processes.all():
            process.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.operators.async_put():  # noqa: ASYNC110
                await asyncio.sleep(0.2)

    async def _async_check_recovery(self) -> None:
        """Clear all faults and check that requests are served and no document is lost."""
        context = self.context
        self._faults.clear_all()
        if self._upgrades is not None:
            await self._upgrades.async_finish_restart()
        await asyncio.sleep(RECOVERY_S)
        context.has_recovered = True
        await asyncio.sleep(RECOVERY_S / 2)
        violations = context.outcome.violations
        if context.outcome.served_after_recovery == 0:
            violations.append("no request succeeded after all faults were cleared")
        version = await self.operators.async_read()
        if version is None or version < context.accepted_version:
            violations.append(
                f"read version {version} after recovery, {context.accepted_version} was accepted"
            )

    async def _async_play_scenario(self) -> None:
        """Play the scenario; the callers check the responses meanwhile."""
        match self._scenario:
            case Scenario.NONE:
                return
            case Scenario.PAUSES:
                self._tasks.append(asyncio.ensure_future(self._faults.async_pause_engines()))
                await asyncio.sleep(PAUSES_S)
            case Scenario.CRASHING_PART:
                await self._async_play_crashing_part()
            case Scenario.LIMITS:
                await self._async_play_limits()
            case Scenario.SECOND_ANSWERS:
                await self._async_play_second_answers()

    async def _async_play_limits(self) -> None:
        """Let all endpoints name a limit, kill a gateway and a replica meanwhile, and check."""
        context = self.context
        loop = asyncio.get_running_loop()
        named_at = loop.time()
        context.has_recovered = False
        for endpoint in context.endpoints:
            endpoint.request_limit = LIMIT
        for processes in (context.processes.gateways, context.processes.registries):
            await asyncio.sleep(LIMITS_S / 3)
            victim = context.rng.choice(processes)
            context.outcome.record_fault(f"SIGKILL {victim.name}")
            victim.signal(signal.SIGKILL)
        await asyncio.sleep(LIMITS_S / 3)
        times_by_endpoint: defaultdict[str, list[float]] = defaultdict(list)
        for endpoint_id, _, reached_at in context.requests.reached:
            times_by_endpoint[endpoint_id].append(reached_at)
        entries: defaultdict[str, list[str]] = defaultdict(list)
        for endpoint in context.endpoints:
            if not endpoint.is_engine or (endpoint.layers is not None and endpoint.layers[0] == 0):
                entries[endpoint.service].append(endpoint.endpoint_id)
        context.outcome.violations += limit_violations(
            times_by_endpoint, entries, named_at, loop.time()
        )

    async def _async_play_second_answers(self) -> None:
        """Let all plain endpoints repeat answers; the callers check what they get."""
        context = self.context
        context.has_recovered = False
        for endpoint in context.endpoints:
            endpoint.answers_twice = not endpoint.is_engine
        self._tasks += [
            asyncio.ensure_future(KeptCaller(context, number).async_run())
            for number in range(KEPT_CALLERS)
        ]
        first = context.outcome.sent
        await asyncio.sleep(SECOND_ANSWERS_S / 2)
        victim = context.rng.choice(context.processes.gateways)
        context.outcome.record_fault(f"SIGSTOP {victim.name}")
        victim.signal(signal.SIGSTOP)
        await asyncio.sleep(1.0)
        victim.signal(signal.SIGCONT)
        await asyncio.sleep(SECOND_ANSWERS_S / 2)
        if context.outcome.sent == first:
            context.outcome.violations.append("no request was answered beside second answers")

    async def _async_play_crashing_part(self) -> None:
        """Let callers also send requests that crash engines, and check how they are handled."""
        context = self.context
        record = context.requests.crashing_part
        record.calm_until = asyncio.get_running_loop().time()
        context.has_recovered = False
        context.sends_crashing_part = True
        await asyncio.sleep(CRASHING_PART_S)
        context.outcome.faults += [f"{time:.2f} crashed by the part" for time in record.crashed_at]
        context.outcome.violations += record.violations()

    async def async_stop(self) -> None:
        """Stop all tasks, processes, proxies and endpoints."""
        for task in self._tasks:
            task.cancel()
        for process in self.context.processes.all():
            process.stop()
        for proxy in self.context.proxies:
            await proxy.async_unload()
        for endpoint in self.context.endpoints:
            await endpoint.async_unload()


def _require_build(revision: str) -> Build:
    """Return the build of a commit.

    Raises:
        RuntimeError: It can't be built here.
    """
    build = prepare_build(revision)
    if build.is_error():
        raise RuntimeError(build.error)
    return build.ok


def run_seed(
    seed: int,
    seconds: float,
    scenario: Scenario,
    answer_faults: Collection[AnswerFault],
    old_revision: str,
    *,
    is_mixed: bool,
) -> Outcome:
    """Run one seed in its own temporary folder and add the folder name to any violations."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    run = SoakRun(seed, seconds, folder, scenario, answer_faults, old_revision, is_mixed=is_mixed)
    outcome = asyncio.run(run.async_run())
    if outcome.violations:
        outcome.violations.insert(0, f"logs: {folder.name}")
    return outcome
