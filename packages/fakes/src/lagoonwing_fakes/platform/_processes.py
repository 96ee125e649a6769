"""System processes of one deployment on loopback, signalled only by process id."""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from lagoonwing_fakes.builds import Build
from lagoonwing_fakes.platform.const import (
    ANNOUNCE_INTERVAL_S,
    CALLER_PORT,
    CONTROL_PORT,
    DRAIN_GRACE_S,
    FAILURE_DOMAIN,
    METRICS_PORT,
    NETWORK_COUNT,
    PEER_PORT,
    READY_PORT,
    SYSTEM_KEY,
)


@dataclass
class SystemProcess:
    """A registry or gateway process.

    Attributes:
        address: Address at which other processes reach it, possibly through a proxy.
        network_claim: Socket that keeps other deployments off the addresses. Each process inherits
            it, so that the claim outlives a test run that was killed and left processes behind.
        start_count: Number of starts; the current log belongs to the last one.
        build: Build that runs from the next start on; `None` for the working tree.
        running_build: Build of the last start.
    """

    name: str
    address: str
    listen_address: str
    settings: Path
    data: Path | None
    log: Path
    network_claim: socket.socket
    popen: subprocess.Popen[bytes] | None = None
    start_count: int = 0
    build: Build | None = None
    running_build: Build | None = None

    def start_with_unread_stdout(self) -> None:
        """Start the process with its log written to a pipe that is never read."""
        self.popen = subprocess.Popen(  # noqa: S603
            self._command(),
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            env=self._environment(),
            pass_fds=(self.network_claim.fileno(),),
        )

    def start(self) -> None:
        """Start the process."""
        self.start_count += 1
        self.running_build = self.build
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(  # noqa: S603
                self._command(),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=self._environment(),
                pass_fds=(self.network_claim.fileno(),),
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def stop(self) -> None:
        """Kill the process and wait for it to exit."""
        if self.popen is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def append_partial_write(self, tail: bytes) -> None:
        """Append the start of an incomplete write to the log segment of a stopped process."""
        assert self.data is not None
        segments = sorted(self.data.glob("**/log-*.bin"))
        if not segments:
            return
        with segments[-1].open("ab") as segment:
            segment.write(tail)

    def _command(self) -> list[str]:
        """Return the command of its build."""
        if self.build is None:
            return [sys.executable, "-m", "lagoonwing", "run"]
        return self.build.command("run")

    def _environment(self) -> dict[str, str]:
        """Return the variables under which its build is found."""
        environment = dict(os.environ) if self.build is None else self.build.environment()
        return {**environment, "LAGOONWING_CONFIG": str(self.settings)}

    def erase_data(self) -> None:
        """Erase the data of a stopped process and forbid it to found a new log."""
        assert self.data is not None
        shutil.rmtree(self.data, ignore_errors=True)
        document = json.loads(self.settings.read_text(encoding="utf-8"))
        document["registry"]["may_found"] = False
        self.settings.write_text(json.dumps(document), encoding="utf-8")


@dataclass
class Processes:
    """Processes of one deployment."""

    registries: list[SystemProcess] = field(default_factory=list)
    gateways: list[SystemProcess] = field(default_factory=list)

    def all(self) -> list[SystemProcess]:
        """Return all processes."""
        return [*self.registries, *self.gateways]


def make_processes(
    folder: Path, network: int, registries: int, gateways: int, *, behind_proxies: bool = False
) -> Processes:
    """Write the settings files of a deployment.

    Args:
        folder: Folder for settings, data and logs.
        network: Preferred third octet of the loopback addresses; the next free one is used.
        registries: Number of registries, which replicate the catalog.
        gateways: Number of gateways.
        behind_proxies: Whether peers connect through a proxy.
    """
    network, claim = _claim_network(network)
    seeds = [f"127.78.{network}.{10 + n}:{CONTROL_PORT}" for n in range(registries)]
    processes = Processes()
    for number in range(registries + gateways):
        is_registry = number < registries
        name = f"registry-{number}" if is_registry else f"gateway-{number - registries}"
        address = f"127.78.{network}.{10 + number}"
        listen_address = f"127.79.{network}.{10 + number}"
        data = folder / f"data-{name}" if is_registry else None
        document: dict[str, object] = {
            "role": "registry" if is_registry else "gateway",
            "host_id": name,
            "failure_domain": FAILURE_DOMAIN,
            "address": address,
            "peer_port": PEER_PORT,
            "system_key": SYSTEM_KEY,
            "seeds": seeds,
        }
        if behind_proxies:
            document["peer_listen_address"] = listen_address
        if data is not None:
            document["data_folder"] = str(data)
            document["registry"] = {
                "control_listen": f"{address}:{CONTROL_PORT}",
                "metrics_port": METRICS_PORT,
                "announce_interval_ms": ANNOUNCE_INTERVAL_S * 1_000,
                "tolerated_losses": (registries - 1) // 2,
            }
        else:
            document["gateway"] = {
                "caller_listen": f"{address}:{CALLER_PORT}",
                "ready_listen": f"{address}:{READY_PORT}",
                "metrics_port": METRICS_PORT,
                "drain_grace_s": DRAIN_GRACE_S,
                "retry_slack": 100.0,
            }
        path = folder / f"{name}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        process = SystemProcess(
            name, address, listen_address, path, data, folder / f"{name}.log", claim
        )
        (processes.registries if is_registry else processes.gateways).append(process)
    return processes


def _claim_network(preferred: int) -> tuple[int, socket.socket]:
    """Return the first network that no other process on this machine has claimed, and the claim.

    Raises:
        OSError: All networks are in use.
    """
    for offset in range(NETWORK_COUNT):
        network = (preferred + offset) % NETWORK_COUNT
        claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            claim.bind((f"127.78.{network}.1", PEER_PORT))
        except OSError:
            claim.close()
            continue
        return network, claim
    raise OSError("all loopback networks of the fake platform are in use")
