"""A small deployment of the project's own programs on loopback addresses.

Processes run the command of `deploy/system.toml` with settings made from its templates.
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
_PLACEHOLDER = re.compile(r"\{\{([a-z0-9.-]+)(\|json)?\}\}")
_PORTS = ("peer", "metrics", "control", "front", "ready")
# Values of the users' sheet for the site lonas-quito.
_PARAMETERS = {
    "retry-budget-ratio": 0.2,
    "budget-slack": 196,
    "budget-window-s": 10,
    "grace-s": 8,
}
HEARTBEAT_MS = 1200


class UnavailableError(Exception):
    """The case could not run."""


@dataclass
class Process:
    """A process of the system on a machine of its own.

    Attributes:
        role: Name of its role in the deploy file.
        seeds: Addresses of `control` in its settings file.
    """

    name: str
    role: str
    address: str
    zone: str
    seeds: list[str]
    bootstrap: bool
    popen: subprocess.Popen[bytes] | None = None


@dataclass
class Site:
    """Processes, addresses and the temporary folder of one run.

    Attributes:
        tolerated_losses: Core machines that may be lost at once.
    """

    record: Any
    tolerated_losses: int = 2
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="review-")))
    processes: list[Process] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Read the deploy file and choose free ports."""
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        if not (ROOT / "target/deps/lagoonwing").is_dir():
            raise UnavailableError("target/deps is missing: run the build of the deploy file")
        self._network = f"127.{random.randint(16, 99)}.{random.randint(1, 250)}"
        self.ports = self._free_ports()
        self._next_host = 10

    def address(self) -> str:
        """Return a loopback address that nothing of this run uses."""
        self._next_host += 1
        return f"{self._network}.{self._next_host}"

    def add(
        self, role: str, zone: str, seeds: list[str], *, bootstrap: bool, address: str = ""
    ) -> Process:
        """Add a process on a given address or a new one; it is not started yet."""
        is_registry = role == "registry"
        number = 1 + sum(process.role == role for process in self.processes)
        name = f"{'core' if is_registry else 'front'}-{zone}-{number}"
        process = Process(name, role, address or self.address(), zone, seeds, bootstrap)
        self.processes.append(process)
        return process

    def control(self, process: Process) -> str:
        """Return the address and port of a registry's `control` interface."""
        return f"{process.address}:{self.ports['control']}"

    def start(self, process: Process) -> None:
        """Start a process as the platform does."""
        settings = self.folder / f"{process.name}.json"
        template = (ROOT / self._roles[process.role]["template"]).read_text()
        settings.write_text(_fill(template, self._fields(process)))
        variables = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        variables["LAGOONWING_CONFIG"] = str(settings)
        with (self.folder / f"{process.name}.log").open("ab") as log:
            process.popen = subprocess.Popen(
                self._roles[process.role]["run"].split(),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=variables,
            )
        self.record("start", process=process.name, address=process.address)

    def signal(self, process: Process, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.record("signal", process=process.name, signal=number.name)
        if process.popen is not None and process.popen.poll() is None:
            process.popen.send_signal(number)

    def kill(self, process: Process) -> None:
        """Kill a process and wait for its end."""
        self.signal(process, signal.SIGKILL)
        if process.popen is not None:
            process.popen.wait()

    def remove(self, process: Process) -> None:
        """Kill a process for good; its machine and its disk are gone."""
        self.kill(process)
        shutil.rmtree(self._data_folder(process), ignore_errors=True)

    def close(self) -> None:
        """End every process and remove the folder."""
        for process in self.processes:
            if process.popen is not None and process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
        for process in self.processes:
            if process.popen is not None:
                process.popen.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _data_folder(self, process: Process) -> Path:
        """Return the data folder of a process."""
        return self.folder / f"data-{process.name}"

    def _fields(self, process: Process) -> dict[str, Any]:
        """Return the fields of a settings file as the platform knows them."""
        fields: dict[str, Any] = {
            "node-name": process.name,
            "zone": process.zone,
            "ip": process.address,
            "port-range": [self.ports["peer"], self.ports["metrics"]],
            "seeds": process.seeds,
            "bootstrap": process.bootstrap,
            "heartbeat-ms": HEARTBEAT_MS,
            "listen-addrs": {
                name: f"{process.address}:{self.ports[name]}"
                for name in ("control", "front", "ready")
            },
            "fault-tolerance": {"machines": self.tolerated_losses},
            "contract-params": _PARAMETERS,
        }
        if process.role == "registry":
            folder = self._data_folder(process)
            folder.mkdir(exist_ok=True)
            fields["data-dir"] = str(folder)
        return fields

    def _free_ports(self) -> dict[str, int]:
        """Return a port for each purpose that is free on any loopback address."""
        sockets = [socket.socket() for _ in _PORTS]
        try:
            for sock in sockets:
                sock.bind(("", 0))
            return {name: sock.getsockname()[1] for name, sock in zip(_PORTS, sockets, strict=True)}
        finally:
            for sock in sockets:
                sock.close()


def _fill(template: str, fields: dict[str, Any]) -> str:
    """Fill the placeholders of a settings template."""

    def value_of(match: re.Match[str]) -> str:
        value: Any = fields
        for key in match[1].split("."):
            value = value[int(key)] if isinstance(value, list) else value[key]
        return json.dumps(value) if match[2] else str(value)

    return _PLACEHOLDER.sub(value_of, template)


class Record:
    """Writes `record.txt`: a JSON line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def __call__(self, what: str, /, **values: Any) -> None:
        """Write one line."""
        at = round(time.monotonic() - self._started_at, 3)
        self._file.write(json.dumps({"s": at, "what": what, **values}) + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
