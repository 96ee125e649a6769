"""A whole deployment of real processes on loopback addresses of their own."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import subprocess
import sys
import urllib.error
import urllib.request
from dataclasses import fields, replace
from enum import Enum
from pathlib import Path
from typing import Any

from lagoonwing_fakes.deployment._processes import RunningProcess, binary, start_process
from lagoonwing_fakes.deployment._settings_files import host_address, write_settings
from lagoonwing_fakes.deployment.const import (
    ANNOUNCE_PORT,
    CALLER_PORT,
    ENDPOINT_KEY,
    ENDPOINT_PORT,
    FIRST_ENDPOINT_NUMBER,
    OPERATOR_KEY,
    OPERATOR_PORT,
    POLL_S,
    PROBE_TIMEOUT_S,
    READY_TIMEOUT_S,
)
from lagoonwing_fakes.deployment.models import DeploymentPlan, EndpointPlan, HostProcess
from lagoonwing_fakes.models import FakeSettings, FaultPlan


class DeploymentError(Exception):
    """A process did not come up, or a command failed."""


class Deployment:
    """Starts, kills, freezes and restarts the processes of a plan."""

    def __init__(self, plan: DeploymentPlan) -> None:
        self.plan = plan
        self.process_by_name: dict[str, RunningProcess] = {}
        self._endpoint_plan_by_id: dict[str, EndpointPlan] = {}
        plan.folder.mkdir(parents=True, exist_ok=True)

    # Hosts

    def start_host(self, process: HostProcess, number: int) -> None:
        """Start one process of a host, numbered from 1."""
        name = f"{process.value}-{number}"
        settings = write_settings(self.plan, process, number)
        log_file = self.plan.folder / f"{name}.log"
        arguments = [binary("lagoonwing"), "run", str(settings)]
        self.process_by_name[name] = start_process(name, arguments, log_file)

    def start_hosts(self) -> None:
        """Start every process of every host."""
        for number in range(1, self.plan.replicas + 1):
            self.start_host(HostProcess.CONTROL, number)
        for number in range(1, self.plan.entries + 1):
            self.start_host(HostProcess.ENTRY, number)

    def entry_address(self, number: int) -> str:
        """Return the address of an entry host, numbered from 1."""
        return host_address(self.plan, number)

    def caller_url(self, number: int) -> str:
        """Return the address for callers of an entry host, numbered from 1."""
        return f"http://{self.entry_address(number)}:{CALLER_PORT}"

    async def async_wait_ready(self, numbers: list[int] | None = None) -> None:
        """Wait until entry hosts say that they are ready.

        Raises:
            DeploymentError: One is not ready within `READY_TIMEOUT_S`.
        """
        for number in numbers or list(range(1, self.plan.entries + 1)):
            await self.async_wait(
                lambda number=number: self._probe(number), f"entry-{number} to be ready"
            )

    async def async_wait(self, condition: Any, purpose: str) -> None:
        """Poll a condition.

        Args:
            condition: Called in a thread; true ends the wait.
            purpose: What is waited for, for the error.

        Raises:
            DeploymentError: The condition is not met within `READY_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + READY_TIMEOUT_S
        while not await asyncio.to_thread(condition):
            if loop.time() > end:
                raise DeploymentError(f"waited {READY_TIMEOUT_S} s for {purpose}")
            await asyncio.sleep(POLL_S)

    def _probe(self, number: int) -> bool:
        """Return whether an entry host answers its readiness probe."""
        try:
            url = f"{self.caller_url(number)}/readyz"
            with urllib.request.urlopen(url, timeout=PROBE_TIMEOUT_S) as answer:
                return int(answer.status) == 200
        except (urllib.error.URLError, OSError):
            return False

    # Endpoints

    def start_endpoint(self, settings: FakeSettings, faults: FaultPlan | None = None) -> None:
        """Start a stand-in; address, entries, key and log file are filled in."""
        position = len(self._endpoint_plan_by_id)
        if settings.endpoint_id in self._endpoint_plan_by_id:
            position = list(self._endpoint_plan_by_id).index(settings.endpoint_id)
        filled = replace(
            settings,
            address=f"127.{self.plan.network}.{FIRST_ENDPOINT_NUMBER + position}",
            port=ENDPOINT_PORT,
            entries=self._announce_addresses(),
            endpoint_key=ENDPOINT_KEY,
            log_path=str(self.effect_log(settings.endpoint_id)),
        )
        plan = EndpointPlan(filled, faults or FaultPlan())
        self._endpoint_plan_by_id[settings.endpoint_id] = plan
        self._launch_endpoint(plan)

    def restart_endpoint(self, endpoint_id: str) -> None:
        """Start a stand-in again as it was planned."""
        self._launch_endpoint(self._endpoint_plan_by_id[endpoint_id])

    def effect_log(self, endpoint_id: str) -> Path:
        """Return the file in which a stand-in logs what it ran."""
        return self.plan.folder / f"effects-{endpoint_id}.jsonl"

    def effects(self, endpoint_id: str) -> list[dict[str, Any]]:
        """Return what a stand-in logged so far."""
        path = self.effect_log(endpoint_id)
        if not path.exists():
            return []
        lines = path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]

    def all_effects(self) -> list[dict[str, Any]]:
        """Return what all stand-ins logged so far, each line with its endpoint."""
        return [
            {"endpoint": endpoint_id, **line}
            for endpoint_id in self._endpoint_plan_by_id
            for line in self.effects(endpoint_id)
        ]

    def endpoint_address(self, endpoint_id: str) -> str:
        """Return address and port of a stand-in."""
        settings = self._endpoint_plan_by_id[endpoint_id].settings
        return f"{settings.address}:{settings.port}"

    def _announce_addresses(self) -> tuple[str, ...]:
        """Return where endpoints announce themselves."""
        numbers = range(1, self.plan.entries + 1)
        return tuple(f"{self.entry_address(number)}:{ANNOUNCE_PORT}" for number in numbers)

    def _launch_endpoint(self, plan: EndpointPlan) -> None:
        """Start the process of a stand-in."""
        name = plan.settings.endpoint_id
        arguments = [sys.executable, "-m", "lagoonwing_fakes", *_options(plan)]
        log_file = self.plan.folder / f"{name}.log"
        self.process_by_name[name] = start_process(name, arguments, log_file)

    def endpoint_counts(self) -> list[int]:
        """Return how many endpoints each entry host knows."""
        numbers = range(1, self.plan.entries + 1)
        return [int(self.gauge(number, "endpoints")) for number in numbers]

    def gauge(self, number: int, name: str) -> float:
        """Return one value of an entry host's state, or 0 if it doesn't answer."""
        try:
            with urllib.request.urlopen(
                f"{self.caller_url(number)}/metrics", timeout=PROBE_TIMEOUT_S
            ) as answer:
                text = answer.read().decode()
        except (urllib.error.URLError, OSError):
            return 0.0
        found = re.search(rf'^lagoonwing_entry{{name="{name}"}} (\S+)', text, re.MULTILINE)
        return float(found.group(1)) if found else 0.0

    # Faults

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.process_by_name[name].kill()

    def freeze(self, name: str) -> None:
        """Stop a process from running, without its notice."""
        self.process_by_name[name].send(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self.process_by_name[name].send(signal.SIGCONT)

    def restart_stopped(self) -> None:
        """Start every process again that has ended."""
        for name, process in list(self.process_by_name.items()):
            if process.running:
                continue
            if name in self._endpoint_plan_by_id:
                self.restart_endpoint(name)
                continue
            role, number = name.split("-")
            self.start_host(HostProcess(role), int(number))

    def close(self) -> None:
        """End every process."""
        for process in self.process_by_name.values():
            process.send(signal.SIGCONT)
            if process.running:
                process.kill()

    # Operators

    def operator_addresses(self) -> list[str]:
        """Return the operators' port of each control replica."""
        numbers = range(1, self.plan.replicas + 1)
        return [f"{host_address(self.plan, number)}:{OPERATOR_PORT}" for number in numbers]

    def operate(self, *arguments: str, check: bool = True) -> subprocess.CompletedProcess[str]:
        """Run `lagoonctl` against all replicas.

        Args:
            *arguments: Command and options.
            check: Whether an exit code other than 0 raises.

        Raises:
            DeploymentError: The command failed and `check` is set.
        """
        addresses = [part for address in self.operator_addresses() for part in ("-a", address)]
        command = [binary("lagoonctl"), *arguments, *addresses, "--token", OPERATOR_KEY]
        done = subprocess.run(  # noqa: S603
            command, capture_output=True, text=True, check=False, timeout=READY_TIMEOUT_S
        )
        if check and done.returncode != 0:
            raise DeploymentError(f"{command}: {done.returncode}\n{done.stdout}{done.stderr}")
        return done


def _options(plan: EndpointPlan) -> list[str]:
    """Return the command line of a stand-in."""
    options: list[str] = []
    for field in fields(plan.settings):
        options += _option(field.name, getattr(plan.settings, field.name))
    faults = plan.faults
    options += _option("fault", faults.fault)
    options += _option("fault_count", faults.count)
    options += _option("fault_after_tokens", faults.after_tokens)
    options += _option("fault_delay_s", faults.delay_s)
    options += _option("crash_marker", faults.crash_marker)
    return options


def _option(name: str, value: Any) -> list[str]:
    """Return one option as the stand-in's command line reads it."""
    text = "--" + name.replace("_", "-")
    match value:
        case True:
            return [text]
        case False:
            return ["--no-" + text[2:]]
        case tuple():
            return [part for entry in value for part in (text, str(entry))]
        case Enum():
            return [text, str(value.value)]
        case "":
            return []
        case _:
            return [text, str(value)]
