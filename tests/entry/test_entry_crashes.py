"""A request that crashes every endpoint that runs it."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from typing import Any

import pytest
from entry_client import chat_prompt
from entry_cluster import Cluster, async_wait_until
from entry_const import ADDRESS, ENDPOINT_KEY, HANG_TIMEOUT_S

from lagoonwing_fakes import expected_text

POISON_PROMPT = "please crash [poison]"
UNRELATED_PROMPT = "innocent [tokens=40]"
ENDPOINT_COUNT = 4


@pytest.fixture
async def processes(cluster: Cluster) -> AsyncIterator[list[asyncio.subprocess.Process]]:
    """Two entry hosts, and fake endpoint processes that crash on the poison prompt."""
    await cluster.async_add_host()
    await cluster.async_add_host()
    running = []
    for number in range(ENDPOINT_COUNT):
        arguments = ["--kind", "whole_model", "--endpoint-id", f"w{number}", "--address", ADDRESS]
        arguments += ["--tokens-per-s", "800", "--crash-marker", "[poison]"]
        arguments += ["--fault-after-tokens", "2", "--endpoint-key", ENDPOINT_KEY]
        arguments += ["--log-path", str(cluster.folder / "endpoints.jsonl")]
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lagoonwing_fakes", *arguments, stdout=asyncio.subprocess.PIPE
        )
        running.append(process)
    for number, process in enumerate(running):
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), HANG_TIMEOUT_S)
        await cluster.async_announce_record(_record(number, int(line.decode().rsplit(":", 1)[1])))
    yield running
    for process in running:
        if process.returncode is None:
            process.kill()
        await process.wait()


def _record(number: int, port: int) -> dict[str, Any]:
    """Return the announcement of a fake endpoint."""
    return {
        "endpoint_id": f"w{number}",
        "incarnation": 1,
        "sequence": 1,
        "state": "serving",
        "kind": "whole_model",
        "address": ADDRESS,
        "port": port,
        "failure_domain": f"fd{number}",
        "models": ["m1"],
        "slots": 8,
        "tokens_per_s": 800.0,
    }


async def test_one_request_crashes_at_most_two_endpoints(
    cluster: Cluster, processes: list[asyncio.subprocess.Process]
) -> None:
    """At most two endpoints crash, also with resends; concurrent requests complete."""
    first, second = cluster.hosts
    unrelated_requests = [asyncio.create_task(first.async_chat(UNRELATED_PROMPT)) for _ in range(6)]
    await async_wait_until(lambda: any(active.records for active in first.entry.runner.active))
    for host in (first, second, first, second):
        deadline = {"X-Deadline-Ms": "4000"}
        poisoned = await host.async_chat(POISON_PROMPT, headers=deadline)
        assert poisoned.headers["X-Outcome"] in ("unknown", "not_run")
        # Different white space does not change the request fingerprint.
        await host.async_chat("  " + POISON_PROMPT, headers=deadline)
    crashed = sum(process.returncode is not None for process in processes)
    assert crashed <= 2
    assert len(cluster.endpoint_log("crash")) <= 2
    for response in await asyncio.gather(*unrelated_requests):
        content = json.loads(response.body)["choices"][0]["message"]["content"]
        assert content == expected_text(chat_prompt(UNRELATED_PROMPT))
