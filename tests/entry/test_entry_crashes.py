"""A request that kills the process of each endpoint that runs it."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from typing import Any

import pytest
from entry_cell import ADDRESS, ENDPOINT_KEY, HANG_TIMEOUT_S, Cell, async_until, chat_prompt

from lagoonwing_fakes import expected_text

POISON = "please crash [poison]"
INNOCENT = "innocent [tokens=40]"
ENDPOINTS = 4


@pytest.fixture
async def processes(cell: Cell) -> AsyncIterator[list[asyncio.subprocess.Process]]:
    """Two entry hosts and whole-model stand-ins as processes that die of the poison."""
    await cell.async_add_host()
    await cell.async_add_host()
    running = []
    for number in range(ENDPOINTS):
        arguments = ["--kind", "whole_model", "--endpoint-id", f"w{number}", "--address", ADDRESS]
        arguments += ["--tokens-per-s", "800", "--crash-marker", "[poison]"]
        arguments += ["--fault-after-tokens", "2", "--endpoint-key", ENDPOINT_KEY]
        arguments += ["--log-path", str(cell.folder / "truth.jsonl")]
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lagoonwing_fakes", *arguments, stdout=asyncio.subprocess.PIPE
        )
        running.append(process)
    for number, process in enumerate(running):
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), HANG_TIMEOUT_S)
        await cell.async_announce_record(_record(number, int(line.decode().rsplit(":", 1)[1])))
    yield running
    for process in running:
        if process.returncode is None:
            process.kill()
        await process.wait()


def _record(number: int, port: int) -> dict[str, Any]:
    """Return the announcement of a stand-in."""
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


async def test_at_most_two_endpoints_die_of_one_request(
    cell: Cell, processes: list[asyncio.subprocess.Process]
) -> None:
    """Resends and other request ids included; innocents beside it get their whole answers."""
    first, second = cell.hosts
    innocents = [asyncio.create_task(first.async_chat(INNOCENT)) for _ in range(6)]
    await async_until(lambda: any(active.records for active in first.entry.runner.active))
    for host in (first, second, first, second):
        deadline = {"X-Deadline-Ms": "4000"}
        poisoned = await host.async_chat(POISON, headers=deadline)
        assert poisoned.headers["X-Outcome"] in ("unknown", "not_run")
        # Other white space makes it no other request.
        await host.async_chat("  " + POISON, headers=deadline)
    crashed = sum(process.returncode is not None for process in processes)
    assert crashed <= 2
    assert len(cell.truth("crash")) <= 2
    for answer in await asyncio.gather(*innocents):
        content = json.loads(answer.body)["choices"][0]["message"]["content"]
        assert content == expected_text(chat_prompt(INNOCENT))
