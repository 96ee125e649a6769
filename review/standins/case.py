"""Runs the function of one case with a time limit, and turns its outcome into an exit status."""

from __future__ import annotations

import asyncio
import os
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.http import async_request
from standins.operator import async_get_version
from standins.site import Process, Record, Site, UnavailableError

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_UNAVAILABLE = 2
_LIMIT_S = 112.0
_START_S = 20.0

# Runs a case with or without its disruption; returns what broke the rule, or nothing.
Case = Callable[[Site, bool], Awaitable[list[str]]]


def run_case(folder: Path, case: Case) -> None:
    """Run a case, write its record and exit."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    site: Site | None = None
    status = EXIT_UNAVAILABLE
    try:
        site = Site(record)
        breaks = asyncio.run(asyncio.wait_for(case(site, with_trouble), _LIMIT_S))
        for text in breaks:
            record("rule broken", detail=text)
            print(text)
        status = EXIT_BROKEN if breaks else EXIT_HELD
    except (UnavailableError, OSError, TimeoutError) as error:
        record("could not run", error=repr(error))
        traceback.print_exc()
    finally:
        if site is not None:
            site.close()
        record("exit", status=status, trouble=with_trouble)
        record.close()
    sys.exit(status)


async def async_wait_for(condition: Callable[[], Awaitable[bool]], what: str) -> None:
    """Wait until a condition holds.

    Raises:
        UnavailableError: It doesn't hold in time.
    """
    deadline = time.monotonic() + _START_S
    while not await condition():
        if time.monotonic() > deadline:
            raise UnavailableError(f"{what} did not happen within {_START_S:g} s")
        await asyncio.sleep(0.1)


async def async_wait_ready(site: Site, gateway: Process) -> None:
    """Wait until a gateway says that it is ready."""
    address = f"{gateway.address}:{site.ports['ready']}"

    async def async_is_ready() -> bool:
        try:
            return (await async_request(address, "GET", "/lagoonwing/readyz", {})).status == 200
        except (OSError, EOFError, TimeoutError):
            return False

    await async_wait_for(async_is_ready, f"readiness of {gateway.name}")


async def async_wait_version(site: Site, registry: Process, version: int) -> None:
    """Wait until a registry confirms a version of the configuration as the newest."""

    async def async_is_current() -> bool:
        return await async_get_version(site.control(registry), site.record) == version

    await async_wait_for(async_is_current, f"version {version} at {registry.name}")
