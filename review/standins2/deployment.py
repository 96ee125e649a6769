"""Starts a small deployment of the project's programs on loopback addresses.

The programs run with the commands of the deploy file and with settings made from its templates,
as separate processes. All of them are ended when the deployment is closed.
"""

from __future__ import annotations

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
CALLER_PORT = 8227
READY_PORT = 8220
CONTROL_PORT = 8229
PORT_RANGE = (7340, 7355)
HEARTBEAT_MS = 1_200
ZONES = ("quito-norte", "guayaquil-sur", "cuenca-centro")
# Limits and bounds of the deployment `lonas-quito`, as its settings files name them.
CONTRACT_PARAMS = {"retry-budget-ratio": 0.2, "budget-slack": 196, "budget-window-s": 10}
GRACE_S = 8
_PLACEHOLDER = re.compile(r"\{\{([^}|]+)(\|json)?\}\}")


@dataclass
class Process:
    """A program on a machine of its own.

    Attributes:
        address: IP address of the machine.
        start_count: Number of starts.
    """

    name: str
    role: str
    address: str
    settings: Path
    log: Path
    command: list[str]
    popen: subprocess.Popen[bytes] | None = None
    start_count: int = 0

    def start(self) -> None:
        """Start the program as the platform does."""
        self.start_count += 1
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["LAGOONWING_CONFIG"] = str(self.settings)
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(  # noqa: S603
                self.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the program runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def exit_code(self) -> int | None:
        """Return the exit code, `None` while the program runs."""
        return None if self.popen is None else self.popen.poll()

    def memory_mb(self) -> float:
        """Return the resident memory in MB, 0 if the program has ended."""
        if self.popen is None:
            return 0.0
        try:
            status = Path(f"/proc/{self.popen.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0.0
        match = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(match[1]) / 1_024 if match else 0.0

    def stop(self) -> None:
        """Kill the program and wait for its end."""
        if self.popen is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.popen.wait()


@dataclass
class Deployment:
    """Programs of a small deployment and its free loopback addresses."""

    folder: Path
    network: str
    claim: socket.socket
    registries: list[Process] = field(default_factory=list)
    gateways: list[Process] = field(default_factory=list)

    @property
    def control_addresses(self) -> list[tuple[str, int]]:
        """Addresses that serve control."""
        return [(process.address, CONTROL_PORT) for process in self.registries]

    def start(self) -> None:
        """Start all programs."""
        for process in (*self.registries, *self.gateways):
            process.start()

    def server_address(self, number: int) -> str:
        """Return a loopback address for a server."""
        return f"{self.network}.{100 + number}"

    def close(self) -> None:
        """End all programs and remove their files."""
        for process in (*self.registries, *self.gateways):
            process.stop()
        self.claim.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def make_deployment(registries: int = 3, gateways: int = 1) -> Deployment:
    """Return a deployment that is not started yet."""
    network, claim = _claim_network()
    deployment = Deployment(Path(tempfile.mkdtemp(prefix="review-")), network, claim)
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    seeds = [f"{network}.{10 + n}:{CONTROL_PORT}" for n in range(min(3, registries))]
    for number in range(registries):
        process = _make_process(deployment, deploy, "registry", number, seeds, registries)
        deployment.registries.append(process)
    for number in range(gateways):
        process = _make_process(deployment, deploy, "gateway", number, seeds, registries)
        deployment.gateways.append(process)
    return deployment


def _make_process(
    deployment: Deployment,
    deploy: dict[str, Any],
    role: str,
    number: int,
    seeds: list[str],
    registries: int,
) -> Process:
    """Write the settings of a program and return it."""
    is_registry = role == "registry"
    address = f"{deployment.network}.{(10 if is_registry else 50) + number}"
    name = f"{'core' if is_registry else 'front'}-{number + 1}"
    data = deployment.folder / f"data-{name}"
    fields: dict[str, Any] = {
        "node-name": name,
        "zone": ZONES[number % len(ZONES)],
        "ip": address,
        "port-range": list(PORT_RANGE),
        "seeds": seeds,
        "bootstrap": True,
        "heartbeat-ms": HEARTBEAT_MS,
        "fault-tolerance": {"machines": (registries - 1) // 2},
        "contract-params": {**CONTRACT_PARAMS, "grace-s": GRACE_S},
        "listen-addrs": {
            "front": f"{address}:{CALLER_PORT}",
            "ready": f"{address}:{READY_PORT}",
            "control": f"{address}:{CONTROL_PORT}",
        },
    }
    if is_registry:
        data.mkdir()
        fields["data-dir"] = str(data)
    section = deploy["roles"][role]
    template = (ROOT / section["template"]).read_text(encoding="utf-8")
    settings = deployment.folder / f"{name}.json"
    settings.write_text(_render(template, fields), encoding="utf-8")
    log = deployment.folder / f"{name}.log"
    return Process(name, role, address, settings, log, section["run"].split())


def _render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders of a template."""

    def replace(match: re.Match[str]) -> str:
        value: Any = fields
        for part in match[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        if match[2]:
            return json.dumps(value)
        return str(value)

    return _PLACEHOLDER.sub(replace, template)


def _claim_network() -> tuple[str, socket.socket]:
    """Return the first three numbers of free loopback addresses, and a socket that holds them."""
    for _ in range(100):
        network = f"127.{random.randint(20, 250)}.{random.randint(0, 250)}"
        claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            claim.bind((f"{network}.1", CONTROL_PORT))
        except OSError:
            claim.close()
            continue
        return network, claim
    raise OSError("no free loopback network was found")


class Record:
    """Writes what was sent, answered and run to a file, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
