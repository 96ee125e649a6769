"""Runs a case: starts its deployment, ends all processes and returns the exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from deployment import CALLER_PORT, Deployment, Record, make_deployment
from standins import Address, async_call, async_put_configuration, client_headers

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_COULD_NOT_RUN = 2
_MAX_RUN_S = 115.0
_START_TIMEOUT_S = 20.0


class CaseError(Exception):
    """The case couldn't run."""


@dataclass
class Case:
    """What a case needs to run.

    Attributes:
        has_trouble: Whether the disruption takes place.
    """

    deployment: Deployment
    record: Record
    has_trouble: bool

    @property
    def gateway(self) -> Address:
        """Address of the first gateway for clients."""
        return (self.deployment.gateways[0].address, CALLER_PORT)

    async def async_start(self, configuration: bytes) -> None:
        """Start the programs and send the first configuration.

        Raises:
            CaseError: It was not acknowledged.
        """
        self.deployment.start()
        nodes = self.deployment.control_addresses
        if not await async_put_configuration(nodes, configuration, _START_TIMEOUT_S):
            raise CaseError("the first configuration was not acknowledged")
        self.record.write("operator: the configuration is acknowledged")

    async def async_wait_until_served(self, target: bytes, timeout_s: float = 15.0) -> None:
        """Wait until a request is answered with success.

        Raises:
            CaseError: None was.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        number = 0
        while asyncio.get_running_loop().time() < deadline:
            number += 1
            headers = client_headers(f"warm-{number}")
            answer = await async_call(self.gateway, "GET", target, headers)
            if answer.status == 200:
                return
            await asyncio.sleep(0.2)
        raise CaseError("no request is served")


def run_case(
    async_case: Callable[[Case], Awaitable[bool]], record_file: Path, registries: int = 3
) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

    Args:
        async_case: Runs the case; returns whether the rule held.
        record_file: File to which the case writes what was sent, answered and run.
        registries: Number of registry machines.
    """
    signal.signal(signal.SIGTERM, _exit_on_signal)
    record = Record(record_file)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"case {record_file.parent.name}, disruption: {has_trouble}")
    deployment: Deployment | None = None
    code = EXIT_COULD_NOT_RUN
    try:
        deployment = make_deployment(registries)
        case = Case(deployment, record, has_trouble)
        held = asyncio.run(_async_run(case, async_case))
        code = EXIT_HELD if held else EXIT_BROKEN
    except (CaseError, OSError, TimeoutError) as error:
        record.write(f"the case couldn't run: {error!r}")
        traceback.print_exc()
    finally:
        if deployment is not None:
            deployment.close()
    record.write(f"exit {code}")
    record.close()
    sys.exit(code)


def _exit_on_signal(number: int, frame: object) -> None:
    """End the case, and with it all processes that it started."""
    sys.exit(EXIT_COULD_NOT_RUN)


async def _async_run(case: Case, async_case: Callable[[Case], Awaitable[bool]]) -> bool:
    """Run a case within its time."""
    async with asyncio.timeout(_MAX_RUN_S):
        return await async_case(case)
