"""One seeded run: load, faults that overlap, then quiet, then the checks."""

from __future__ import annotations

import asyncio
import random
import signal
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPResponse
from tornado.httputil import HTTPInputError

from lagoonwing_platform.const import HEADER_SIGNATURE, PATH_GET_DOCUMENT, PATH_PUT_DOCUMENT
from soak.const import (
    CALL_TIMEOUT_S,
    CALLER_KEY,
    CALLER_PORT,
    CALLERS,
    CONTROL_PORT,
    DRAIN_S,
    ENDPOINTS,
    ENGINES,
    EVENTS,
    HEARTBEAT_S,
    HOST_NAME,
    LAYERS,
    SETTLE_S,
    START_TIMEOUT_S,
)
from soak.endpoints import LinkFault, Seen, SoakEndpoint
from soak.processes import Processes, SoakProcess, make_processes

_NOT_RUN = frozenset({408, 421, 429, 503})


@dataclass
class Outcome:
    """Result of one run.

    Attributes:
        violations: Broken promises, in words.
        faults: What was done, in order, for the search for a cause.
    """

    seed: int
    served: int = 0
    asked: int = 0
    served_after: int = 0
    violations: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


class SoakRun:
    """State of one run."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self.outcome = Outcome(seed)
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._processes: Processes = make_processes(folder, 1 + seed % 200)
        self._seen = Seen()
        self._endpoints: list[SoakEndpoint] = []
        self._drained_at_by_id: dict[str, float] = {}
        self._accepted_version = 0
        self._version = 0
        self._next_id = 0
        self._is_quiet = False
        self._is_wiped = False
        self._tasks: list[asyncio.Task[None]] = []

    async def async_run(self) -> Outcome:
        """Run to the end and check."""
        loop = asyncio.get_running_loop()
        try:
            await self._async_start()
            self._tasks = [loop.create_task(self._async_call()) for _ in range(CALLERS)]
            self._tasks += [
                loop.create_task(self._async_beat()),
                loop.create_task(self._async_operate()),
                loop.create_task(self._async_supervise()),
            ]
            faults = [loop.create_task(self._async_faults()) for _ in range(2)]
            await asyncio.sleep(self._seconds)
            for task in faults:
                task.cancel()
            await asyncio.gather(*faults, return_exceptions=True)
            await self._async_settle()
        finally:
            for task in self._tasks:
                task.cancel()
            for process in self._processes.all():
                process.stop()
            for endpoint in self._endpoints:
                await endpoint.async_unload()
        self._check_runs()
        return self.outcome

    async def _async_start(self) -> None:
        """Start everything and wait until it serves."""
        for number in range(ENDPOINTS + ENGINES):
            service = "plain" if number < ENDPOINTS else "engines"
            endpoint = SoakEndpoint(f"e-{number}", service, self._seen, self._rng)
            await endpoint.async_setup()
            self._endpoints.append(endpoint)
        for process in self._processes.all():
            process.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._async_put():  # noqa: ASYNC110
                await asyncio.sleep(0.2)

    async def _async_settle(self) -> None:
        """End all faults and see whether callers are served again."""
        for endpoint in self._endpoints:
            endpoint.fault = LinkFault.NONE
        for process in self._processes.all():
            process.signal(signal.SIGCONT)
        await asyncio.sleep(SETTLE_S)
        self._is_quiet = True
        await asyncio.sleep(SETTLE_S / 2)
        if self.outcome.served_after == 0:
            self.outcome.violations.append("nothing is served though all faults are over")
        version = await self._async_read()
        if version is None or version < self._accepted_version:
            text = f"read back {version}, accepted {self._accepted_version}"
            self.outcome.violations.append(text)

    async def _async_faults(self) -> None:
        """Cause faults one after the other; two of these run at once."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.2, 2.0))
            match self._rng.randrange(7):
                case 0 | 1:
                    await self._async_end(self._rng.choice(self._processes.all()), signal.SIGKILL)
                case 2:
                    await self._async_pause(self._rng.choice(self._processes.all()))
                case 3:
                    await self._async_end(
                        self._rng.choice(self._processes.gateways), signal.SIGTERM
                    )
                case 4:
                    await self._async_wipe(self._rng.choice(self._processes.registries))
                case _:
                    await self._async_harm(self._rng.choice(self._endpoints))

    async def _async_end(self, process: SoakProcess, number: signal.Signals) -> None:
        """Tell a process to end, or end it; the supervisor starts it again."""
        self._note(f"{number.name} {process.name}")
        process.signal(number)
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))

    async def _async_supervise(self) -> None:
        """Start processes that have ended again, as the platform does."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.05, 0.6))
            for process in self._processes.all():
                if process.popen is not None and process.popen.poll() is not None:
                    process.start()

    async def _async_pause(self, process: SoakProcess) -> None:
        """Pause a process for a while."""
        self._note(f"SIGSTOP {process.name}")
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        process.signal(signal.SIGCONT)

    async def _async_wipe(self, process: SoakProcess) -> None:
        """Lose the disk of one replica while the others run and hold everything."""
        others = [one for one in self._processes.registries if one is not process]
        if self._accepted_version == 0 or any(one.popen is None for one in others):
            return
        if any(one.popen is not None and one.popen.poll() is not None for one in others):
            return
        if self._is_wiped:
            return
        self._is_wiped = True
        self._note(f"wipe {process.name}")
        process.stop()
        process.wipe()

    async def _async_harm(self, endpoint: SoakEndpoint) -> None:
        """Let the connections of an endpoint misbehave for a while."""
        fault = self._rng.choice([one for one in LinkFault if one is not LinkFault.NONE])
        self._note(f"{fault.value} {endpoint.endpoint_id}")
        endpoint.fault = fault
        if fault is LinkFault.RESET:
            endpoint.reset_connections()
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        endpoint.fault = LinkFault.NONE

    def _note(self, text: str) -> None:
        """Keep what was done."""
        self.outcome.faults.append(f"{asyncio.get_running_loop().time():.2f} {text}")

    async def _async_beat(self) -> None:
        """Let every endpoint announce itself; one drains on the way."""
        while True:
            for endpoint in self._endpoints:
                if endpoint.endpoint_id not in self._drained_at_by_id:
                    await self._async_announce(endpoint, "ready")
            if self._rng.random() < 0.05 and not self._drained_at_by_id:
                endpoint = self._endpoints[0]
                if await self._async_announce(endpoint, "draining"):
                    now = asyncio.get_running_loop().time()
                    self._drained_at_by_id[endpoint.endpoint_id] = now
                    self._note(f"drained {endpoint.endpoint_id}")
            await asyncio.sleep(HEARTBEAT_S)

    async def _async_announce(self, endpoint: SoakEndpoint, state: str) -> bool:
        """Send one announcement; return whether it was accepted."""
        endpoint.sequence += 1
        body = {
            "service": endpoint.service,
            "address": f"127.0.0.1:{endpoint.port}",
            "zone": "d-1",
            "slots": 8,
            "state": state,
            "sequence": endpoint.sequence,
            "born": 1,
        }
        if endpoint.is_engine:
            body["kind"] = "small"
        if endpoint.layers is not None:
            body["layers"] = {"from": endpoint.layers[0], "to": endpoint.layers[1]}
        path = f"/lagoonwing/instances/{endpoint.endpoint_id}/heartbeat"
        for process in self._shuffled(self._processes.registries):
            answer = await self._async_fetch(process, CONTROL_PORT, path, msgspec.json.encode(body))
            if answer is not None and answer.code == 200:
                return True
        return False

    async def _async_operate(self) -> None:
        """Change the document and read it back."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.3, 1.5))
            if self._rng.random() < 0.5:
                await self._async_put()
                continue
            accepted = self._accepted_version
            version = await self._async_read()
            if version is not None and version < accepted:
                self.outcome.violations.append(f"read {version} after {accepted} was accepted")

    async def _async_put(self) -> bool:
        """Send the next document until it is accepted or no replica takes it."""
        self._version += 1
        version = self._version
        for process in self._shuffled(self._processes.registries):
            answer = await self._async_fetch(
                process, CONTROL_PORT, PATH_PUT_DOCUMENT, _document(version)
            )
            if answer is not None and answer.code == 200:
                self._accepted_version = max(self._accepted_version, version)
                return True
        return False

    async def _async_read(self) -> int | None:
        """Return the version that a replica reads, if one is sure."""
        for process in self._shuffled(self._processes.registries):
            answer = await self._async_fetch(process, CONTROL_PORT, PATH_GET_DOCUMENT, None)
            if answer is not None and answer.code == 200:
                return int(msgspec.json.decode(answer.body)["version"])
        return None

    async def _async_call(self) -> None:
        """Send requests as a caller, without repeating any."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.0, 0.1))
            self._next_id += 1
            attempt_id = f"a-{self._next_id}"
            kind = self._rng.choice(("safe", "unsafe", "stream"))
            process = self._rng.choice(self._processes.gateways)
            answer = await self._async_fetch(
                process,
                CALLER_PORT,
                f"/{kind}/x",
                b"question" if kind != "safe" else None,
                {
                    "Host": HOST_NAME,
                    "Authorization": f"Bearer {CALLER_KEY}",
                    "X-Lagoonwing-Attempt-Id": attempt_id,
                    "X-Lagoonwing-Deadline-Ms": "4000",
                    **({"X-Lagoonwing-Token-Count": "10,12"} if kind == "stream" else {}),
                },
            )
            self.outcome.asked += 1
            if answer is not None:
                self._check_answer(kind, attempt_id, answer)

    def _check_answer(self, kind: str, attempt_id: str, answer: HTTPResponse) -> None:
        """Check what a caller got."""
        violations = self.outcome.violations
        if answer.code == 200:
            self.outcome.served += 1
            self.outcome.served_after += self._is_quiet
            if HEADER_SIGNATURE not in answer.headers:
                violations.append(f"{attempt_id}: a success without signature")
            if answer.body != _expected(kind, attempt_id):
                violations.append(f"{attempt_id}: not its whole answer: {answer.body[-80:]!r}")
        if answer.code in _NOT_RUN and self._seen.runs_by_id[attempt_id] and kind == "unsafe":
            violations.append(f"{attempt_id}: told not run, but it ran")

    def _check_runs(self) -> None:
        """Check what the endpoints saw."""
        for attempt_id, runs in self._seen.runs_by_id.items():
            if runs > 2:
                self.outcome.violations.append(f"{attempt_id}: ran {runs} times")
        for endpoint_id, attempt_id, reached_at in self._seen.reached:
            drained_at = self._drained_at_by_id.get(endpoint_id)
            if drained_at is not None and reached_at > drained_at + DRAIN_S:
                late_s = reached_at - drained_at
                text = f"{attempt_id}: reached {endpoint_id} {late_s:.1f} s after its drain"
                self.outcome.violations.append(text)

    async def _async_fetch(
        self,
        process: SoakProcess,
        port: int,
        path: str,
        body: bytes | None,
        headers: dict[str, str] | None = None,
    ) -> HTTPResponse | None:
        """Call a process; return nothing if it gives no answer."""
        try:
            return await AsyncHTTPClient(force_instance=True).fetch(
                f"http://{process.address}:{port}{path}",
                method="GET" if body is None else "POST",
                body=body,
                headers=headers,
                raise_error=False,
                connect_timeout=1.0,
                request_timeout=CALL_TIMEOUT_S if port == CALLER_PORT else 1.0,
            )
        except (OSError, HTTPError, HTTPInputError):
            # No answer is what a killed or paused process gives; the checks judge the rest.
            return None

    def _shuffled(self, processes: list[SoakProcess]) -> list[SoakProcess]:
        """Return processes in a random order."""
        return self._rng.sample(processes, len(processes))


def _expected(kind: str, attempt_id: str) -> bytes:
    """Return the whole answer to a request."""
    if kind != "stream":
        return f"done {attempt_id}".encode()
    events = (f"id: {number}\ndata: {attempt_id}\n\n" for number in range(1, EVENTS + 1))
    return "".join(events).encode()


def _document(version: int) -> bytes:
    """Return a document with a call route of each kind and a stream route."""

    def route(kind: str, service: str, attempts: int) -> dict[str, object]:
        return {
            "name": kind,
            "host": HOST_NAME,
            "path-prefix": f"/{kind}/",
            "kind": kind,
            "timeout-ms": 4000,
            "slo-ms": 500,
            "service": service,
            "max-attempts": attempts,
            "resumable": kind == "stream",
        }

    engine = {
        "slots": 8,
        "kv-bytes": 8_000,
        "step_ms": 1.0,
        "read_per_s": 100_000.0,
        "usual": {"prompt": 10, "answer": 12},
        "layers": LAYERS,
        "layer-mb": 1.0,
        "models": [{"name": "model", "load-s": 0.1}],
        "kinds": [{"name": "small", "size-mb": 12.0}],
    }
    return msgspec.json.encode(
        {
            "version": version,
            "routes": [
                route("safe", "plain", 2),
                route("unsafe", "plain", 1),
                route("stream", "engines", 2),
            ],
            "services": [{"name": "plain"}, {"name": "engines", "engine": engine}],
            "tenants": [{"name": "m-1", "api-keys": [CALLER_KEY]}],
        }
    )


def run_seed(seed: int, seconds: float) -> Outcome:
    """Run one seed in a folder of its own, which is kept if a promise is broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    outcome = asyncio.run(SoakRun(seed, seconds, folder).async_run())
    if outcome.violations:
        outcome.violations.append(f"logs: {folder.name}")
    return outcome
