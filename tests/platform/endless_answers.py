"""A gateway process between callers, sound endpoints and those whose answers never end."""

from __future__ import annotations

import asyncio
import itertools
import json
import re
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

from endless_endpoints import EndlessEndpoints, EndlessPart
from tornado.httpclient import AsyncHTTPClient

from lagoonwing_core.tasks import TaskSet
from lagoonwing_fakes.platform import (
    Endpoint,
    SystemProcess,
    WorkHandler,
    heartbeat_path,
    make_caller_headers,
    make_document,
    make_heartbeat,
    make_processes,
    start_endpoint,
)
from lagoonwing_fakes.platform.const import ANNOUNCE_INTERVAL_S, CALLER_PORT, CONTROL_PORT
from lagoonwing_platform.const import HEADER_SIGNATURE, PATH_PUT_DOCUMENT

FAULTY_SERVICE = "endless"
ENDPOINTS = 3
NETWORK = 120
DEADLINE_MS = 3_000
LARGE_PREFIX = "large-"
SMALL_PREFIX = "small-"
# More than one of 40 endless answers has room for in a gateway.
LARGE_ANSWER_BYTES = 6 * 1024 * 1024
START_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 6.0
RETRY_PAUSE_S = 0.05
READ_BYTES = 256 * 1024
SERVED = b"HTTP/1.1 200 "


@dataclass(frozen=True)
class Answer:
    """What a caller got: the first bytes of the answer, and the size of all of it."""

    begin: bytes
    size: int


async def _async_answer_at_length(handler: WorkHandler) -> None:
    """Answer some requests with a large body."""
    if handler.attempt_id.startswith(LARGE_PREFIX):
        handler.set_header(HEADER_SIGNATURE, "stamp-large")
        handler.finish(bytes(LARGE_ANSWER_BYTES))


@dataclass
class EndlessPlay:
    """One gateway process between callers, sound endpoints and those whose answers never end.

    Attributes:
        sound_failures: What callers of the sound service got other than their own answer.
        sound_served: Number of requests for the sound service that were served.
        faulty_answers: Number of answers to callers of the other service.
        faulty_body: Body of the requests for the other service.
    """

    gateway: SystemProcess
    registry: SystemProcess
    faulty: EndlessEndpoints
    sound: list[Endpoint]
    sound_failures: list[str] = field(default_factory=list)
    sound_served: int = 0
    faulty_answers: int = 0
    faulty_body: bytes = b""
    _numbers: Iterator[int] = field(default_factory=itertools.count)

    def peak_mb(self) -> float:
        """Return the peak of the gateway's own memory."""
        assert self.gateway.popen is not None
        status = Path(f"/proc/{self.gateway.popen.pid}/status").read_text(encoding="ascii")
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert found is not None
        return int(found.group(1)) / 1_024

    async def async_run(self, seconds: float, sound_callers: int, faulty_callers: int) -> None:
        """Let callers of both services send requests.

        One sound caller asks for large answers; half of the faulty ones ask for streams.
        """
        prefixes = [LARGE_PREFIX, *[SMALL_PREFIX] * (sound_callers - 1)]
        tasks = [asyncio.ensure_future(self._async_call_sound(prefix)) for prefix in prefixes]
        tasks += [
            asyncio.ensure_future(self._async_call_faulty("stream" if n % 2 else "faulty"))
            for n in range(faulty_callers)
        ]
        await asyncio.sleep(seconds)
        for task in tasks:
            assert not task.done(), task.exception()
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def async_request(self, route: str, attempt_id: str, body: bytes = b"") -> Answer:
        """Send a request on a connection of its own, and read its answer to the end."""
        headers = {**make_caller_headers(route, attempt_id, DEADLINE_MS), "Connection": "close"}
        method = "GET" if route == "safe" else "POST"
        lines = [f"{method} /{route}/x HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        lines += [f"Content-Length: {len(body)}"] if method == "POST" else []
        reader, writer = await asyncio.open_connection(self.gateway.address, CALLER_PORT)
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            begin = await reader.read(READ_BYTES)
            size = len(begin)
            while chunk := await reader.read(READ_BYTES):
                size += len(chunk)
            return Answer(begin, size)
        finally:
            writer.close()

    async def _async_call_sound(self, prefix: str) -> None:
        """Send requests for the sound service, each after the answer to the one before."""
        while True:
            attempt_id = f"{prefix}{next(self._numbers)}"
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    answer = await self.async_request("safe", attempt_id)
            except (OSError, TimeoutError) as error:
                self.sound_failures.append(f"{attempt_id}: {error!r}")
                continue
            if answer.begin.startswith(SERVED) and _is_whole(attempt_id, answer):
                self.sound_served += 1
            else:
                self.sound_failures.append(f"{attempt_id}: {answer.size} {answer.begin[:200]!r}")
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _async_call_faulty(self, route: str) -> None:
        """Send requests for the other service, whatever their answers are."""
        while True:
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    attempt_id = f"faulty-{next(self._numbers)}"
                    await self.async_request(route, attempt_id, self.faulty_body)
                self.faulty_answers += 1
            await asyncio.sleep(RETRY_PAUSE_S)

    async def async_announce(self) -> None:
        """Announce all endpoints again and again."""
        for sequence in itertools.count(1):
            for endpoint in self.sound:
                body = endpoint.heartbeat()
                await self._async_post(heartbeat_path(endpoint.endpoint_id), body)
            for number, port in enumerate(self.faulty.ports):
                body = make_heartbeat(FAULTY_SERVICE, port, sequence, None, None, slots=64)
                await self._async_post(heartbeat_path(f"endless-{number}"), body)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def async_put_document(self) -> None:
        """Send the configuration until it is accepted."""
        while not await self._async_post(PATH_PUT_DOCUMENT, _make_document()):  # noqa: ASYNC110
            await asyncio.sleep(RETRY_PAUSE_S)

    async def async_wait_served(self) -> None:
        """Wait until the sound service is served."""
        answer = Answer(b"", 0)
        while not answer.begin.startswith(SERVED):
            await asyncio.sleep(RETRY_PAUSE_S)
            answer = await self.async_request("safe", "first")

    async def _async_post(self, path: str, body: bytes) -> bool:
        """Send a body to the registry; return whether it accepted it."""
        url = f"http://{self.registry.address}:{CONTROL_PORT}{path}"
        client = AsyncHTTPClient(force_instance=True)
        try:
            answer = await client.fetch(url, method="POST", body=body, raise_error=False)
        except OSError:
            return False
        finally:
            client.close()
        return answer.code == 200


def _is_whole(attempt_id: str, answer: Answer) -> bool:
    """Return whether a caller of the sound service got the whole answer to its request."""
    if attempt_id.startswith(LARGE_PREFIX):
        head, _, _ = answer.begin.partition(b"\r\n\r\n")
        return answer.size == len(head) + 4 + LARGE_ANSWER_BYTES
    return answer.begin.endswith(f"body of {attempt_id} ".encode())


def _make_document() -> bytes:
    """Return a configuration with a route to the sound service and two to the other."""
    document = json.loads(make_document())
    safe, _, stream = document["routes"]
    faulty = {**safe, "name": "faulty", "path-prefix": "/faulty/", "service": FAULTY_SERVICE}
    document["routes"] = [safe, faulty, {**stream, "service": FAULTY_SERVICE}]
    document["services"] = [
        {"name": name, "health-path": "/healthz", "max-connections": 200}
        for name in ("plain", FAULTY_SERVICE)
    ]
    return json.dumps(document).encode()


@asynccontextmanager
async def async_run_play(folder: Path, part: EndlessPart) -> AsyncIterator[EndlessPlay]:
    """Run a registry, a gateway and endpoints of both services."""
    processes = make_processes(folder, NETWORK, 1, 1)
    play = EndlessPlay(
        processes.gateways[0],
        processes.registries[0],
        EndlessEndpoints(part, ENDPOINTS),
        [start_endpoint(f"sound-{number}", "plain") for number in range(ENDPOINTS)],
    )
    tasks = TaskSet("endless_answers")
    for endpoint in play.sound:
        endpoint.handler_override = _async_answer_at_length
    try:
        for process in processes.all():
            process.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            await play.async_put_document()
            tasks.spawn(play.async_announce())
            await _async_wait_listening(play)
            await play.async_wait_served()
        yield play
    finally:
        await tasks.async_cancel()
        for process in processes.all():
            process.stop()
            process.network_claim.close()
        play.faulty.stop()
        for endpoint in play.sound:
            endpoint.crash()


async def _async_wait_listening(play: EndlessPlay) -> None:
    """Wait until the gateway accepts connections."""
    while True:
        with suppress(OSError):
            _, writer = await asyncio.open_connection(play.gateway.address, CALLER_PORT)
            writer.close()
            return
        await asyncio.sleep(RETRY_PAUSE_S)
