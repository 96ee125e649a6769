"""Deployment of system processes, each host on its own loopback address."""

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

from lagoonwing_fakes.deployment._processes import RunningProcess, executable_path, start_process
from lagoonwing_fakes.deployment._settings_files import host_address, write_settings
from lagoonwing_fakes.deployment.const import (
    ANNOUNCE_PORT,
    CALLER_PORT,
    ENDPOINT_KEY,
    ENDPOINT_PORT,
    FIRST_ENDPOINT_OCTET,
    OPERATOR_KEY,
    OPERATOR_PORT,
    POLL_INTERVAL_S,
    PROBE_TIMEOUT_S,
    READY_TIMEOUT_S,
)
from lagoonwing_fakes.deployment.models import DeploymentPlan, EndpointPlan, HostProcess
from lagoonwing_fakes.models import FakeSettings, FaultPlan


class DeploymentError(Exception):
    """A process did not become ready, or a command failed."""


class Deployment:
    """Starts, kills, suspends and restarts the processes of a deployment plan."""

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
        arguments = [executable_path("lagoonwing"), "run", str(settings)]
        self.process_by_name[name] = start_process(name, arguments, log_file)

    def start_hosts(self) -> None:
        """Start all processes of all hosts."""
        for number in range(1, self.plan.replicas + 1):
            self.start_host(HostProcess.CONTROL, number)
        for number in range(1, self.plan.entries + 1):
            self.start_host(HostProcess.ENTRY, number)

    def entry_address(self, number: int) -> str:
        """Return the address of an entry host, numbered from 1."""
        return host_address(self.plan, number)

    def caller_url(self, number: int) -> str:
        """Return the caller URL of an entry host, numbered from 1."""
        return f"http://{self.entry_address(number)}:{CALLER_PORT}"

    async def async_wait_ready(self, numbers: list[int] | None = None) -> None:
        """Wait until entry hosts report that they are ready.

        Raises:
            DeploymentError: An entry host is not ready within `READY_TIMEOUT_S`.
        """
        for number in numbers or list(range(1, self.plan.entries + 1)):
            await self.async_wait(
                lambda number=number: self._probe(number), f"entry-{number} to be ready"
            )

    async def async_wait(self, condition: Any, purpose: str) -> None:
        """Poll a condition until it is met.

        Args:
            condition: Called in a thread; a true result ends the wait.
            purpose: Description of the condition for the error message.

        Raises:
            DeploymentError: The condition is not met within `READY_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + READY_TIMEOUT_S
        while not await asyncio.to_thread(condition):
            if loop.time() > deadline:
                raise DeploymentError(f"timed out after {READY_TIMEOUT_S} s waiting for {purpose}")
            await asyncio.sleep(POLL_INTERVAL_S)

    def _probe(self, number: int) -> bool:
        """Return whether the readiness probe of an entry host succeeds."""
        try:
            url = f"{self.caller_url(number)}/readyz"
            with urllib.request.urlopen(url, timeout=PROBE_TIMEOUT_S) as response:
                return int(response.status) == 200
        except (urllib.error.URLError, OSError):
            return False

    # Endpoints

    def start_endpoint(self, settings: FakeSettings, faults: FaultPlan | None = None) -> None:
        """Start a fake endpoint, filling in its address, entries, key and log file."""
        position = len(self._endpoint_plan_by_id)
        if settings.endpoint_id in self._endpoint_plan_by_id:
            position = list(self._endpoint_plan_by_id).index(settings.endpoint_id)
        resolved_settings = replace(
            settings,
            address=f"127.{self.plan.network}.{FIRST_ENDPOINT_OCTET + position}",
            port=ENDPOINT_PORT,
            entries=self._announce_addresses(),
            endpoint_key=ENDPOINT_KEY,
            log_path=str(self.effect_log(settings.endpoint_id)),
        )
        plan = EndpointPlan(resolved_settings, faults or FaultPlan())
        self._endpoint_plan_by_id[settings.endpoint_id] = plan
        self._launch_endpoint(plan)

    def restart_endpoint(self, endpoint_id: str) -> None:
        """Restart a fake endpoint with its original plan."""
        self._launch_endpoint(self._endpoint_plan_by_id[endpoint_id])

    def effect_log(self, endpoint_id: str) -> Path:
        """Return the path of a fake endpoint's execution log."""
        return self.plan.folder / f"effects-{endpoint_id}.jsonl"

    def execution_log_entries(self, endpoint_id: str) -> list[dict[str, Any]]:
        """Return the entries in a fake endpoint's execution log so far."""
        path = self.effect_log(endpoint_id)
        if not path.exists():
            return []
        lines = path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]

    def all_execution_log_entries(self) -> list[dict[str, Any]]:
        """Return the execution log entries of all fake endpoints, each with its endpoint id."""
        return [
            {"endpoint": endpoint_id, **line}
            for endpoint_id in self._endpoint_plan_by_id
            for line in self.execution_log_entries(endpoint_id)
        ]

    def endpoint_address(self, endpoint_id: str) -> str:
        """Return the address and port of a fake endpoint."""
        settings = self._endpoint_plan_by_id[endpoint_id].settings
        return f"{settings.address}:{settings.port}"

    def _announce_addresses(self) -> tuple[str, ...]:
        """Return the addresses to which endpoints announce themselves."""
        numbers = range(1, self.plan.entries + 1)
        return tuple(f"{self.entry_address(number)}:{ANNOUNCE_PORT}" for number in numbers)

    def _launch_endpoint(self, plan: EndpointPlan) -> None:
        """Start the process of a fake endpoint."""
        name = plan.settings.endpoint_id
        arguments = [sys.executable, "-m", "lagoonwing_fakes", *_command_line_options(plan)]
        log_file = self.plan.folder / f"{name}.log"
        self.process_by_name[name] = start_process(name, arguments, log_file)

    def endpoint_counts(self) -> list[int]:
        """Return the number of endpoints known to each entry host."""
        numbers = range(1, self.plan.entries + 1)
        return [int(self.gauge(number, "endpoints")) for number in numbers]

    def gauge(self, number: int, name: str) -> float:
        """Return a gauge from an entry host's metrics, or 0 if it does not respond."""
        try:
            with urllib.request.urlopen(
                f"{self.caller_url(number)}/metrics", timeout=PROBE_TIMEOUT_S
            ) as response:
                text = response.read().decode()
        except (urllib.error.URLError, OSError):
            return 0.0
        match = re.search(rf'^lagoonwing_entry{{name="{name}"}} (\S+)', text, re.MULTILINE)
        return float(match.group(1)) if match else 0.0

    # Faults

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.process_by_name[name].kill()

    def suspend(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.process_by_name[name].send(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self.process_by_name[name].send(signal.SIGCONT)

    def restart_exited(self) -> None:
        """Restart all processes that have exited."""
        for name, process in list(self.process_by_name.items()):
            if process.running:
                continue
            if name in self._endpoint_plan_by_id:
                self.restart_endpoint(name)
                continue
            role, number = name.split("-")
            self.start_host(HostProcess(role), int(number))

    def close(self) -> None:
        """Kill all processes."""
        for process in self.process_by_name.values():
            process.send(signal.SIGCONT)
            if process.running:
                process.kill()

    # Operators

    def operator_addresses(self) -> list[str]:
        """Return the operator address of each control replica."""
        numbers = range(1, self.plan.replicas + 1)
        return [f"{host_address(self.plan, number)}:{OPERATOR_PORT}" for number in numbers]

    def run_lagoonctl(
        self, *arguments: str, check: bool = True
    ) -> subprocess.CompletedProcess[str]:
        """Run `lagoonctl` with the addresses of all replicas.

        Args:
            *arguments: Command and its options.
            check: Whether to raise if the exit code is not 0.

        Raises:
            DeploymentError: The command failed and `check` is set.
        """
        addresses = [part for address in self.operator_addresses() for part in ("-a", address)]
        command = [executable_path("lagoonctl"), *arguments, *addresses, "--token", OPERATOR_KEY]
        completed = subprocess.run(  # noqa: S603
            command, capture_output=True, text=True, check=False, timeout=READY_TIMEOUT_S
        )
        if check and completed.returncode != 0:
            raise DeploymentError(
                f"{command} exited with {completed.returncode}\n"
                f"{completed.stdout}{completed.stderr}"
            )
        return completed


def _command_line_options(plan: EndpointPlan) -> list[str]:
    """Return the command-line options of a fake endpoint."""
    options: list[str] = []
    for field in fields(plan.settings):
        options += _format_option(field.name, getattr(plan.settings, field.name))
    faults = plan.faults
    options += _format_option("fault", faults.fault)
    options += _format_option("fault_count", faults.count)
    options += _format_option("fault_after_tokens", faults.after_tokens)
    options += _format_option("fault_delay_s", faults.delay_s)
    options += _format_option("crash_marker", faults.crash_marker)
    return options


def _format_option(name: str, value: Any) -> list[str]:
    """Format one option for the fake endpoint's command line."""
    flag = "--" + name.replace("_", "-")
    match value:
        case True:
            return [flag]
        case False:
            return ["--no-" + flag[2:]]
        case tuple():
            return [part for entry in value for part in (flag, str(entry))]
        case Enum():
            return [flag, str(value.value)]
        case "":
            return []
        case _:
            return [flag, str(value)]
