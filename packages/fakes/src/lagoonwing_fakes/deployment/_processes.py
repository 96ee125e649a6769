"""Starts and stops the processes of a deployment, each by its own process id."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import IO

from lagoonwing_fakes.deployment.const import STOP_TIMEOUT_S


@dataclass(slots=True)
class RunningProcess:
    """A started process and the file that takes its log lines."""

    name: str
    popen: subprocess.Popen[bytes]
    log: IO[bytes]

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.popen.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process alone."""
        if self.running:
            os.kill(self.popen.pid, number)

    def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGKILL)
        self.popen.wait(STOP_TIMEOUT_S)
        self.log.close()

    def stop(self, timeout: float = STOP_TIMEOUT_S) -> int:
        """Ask the process to stop in order and wait for it.

        Args:
            timeout: Seconds to wait.

        Returns:
            The exit code.

        Raises:
            TimeoutExpired: The process has not ended in time.
        """
        self.send(signal.SIGTERM)
        code = self.popen.wait(timeout)
        self.log.close()
        return code


def start_process(name: str, arguments: list[str], log_file: Path) -> RunningProcess:
    """Start one process; its output is appended to a file."""
    log = log_file.open("ab")
    popen = subprocess.Popen(  # noqa: S603
        arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT
    )
    return RunningProcess(name, popen, log)


def binary(name: str) -> str:
    """Return the path of one of the project's binaries in this environment."""
    return str(Path(sys.executable).with_name(name))
