"""Starts and stops the processes of a deployment, signalling only their process ids."""

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
    """A started process and its log file."""

    name: str
    popen: subprocess.Popen[bytes]
    log: IO[bytes]

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.popen.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self.running:
            os.kill(self.popen.pid, number)

    def kill(self) -> None:
        """Kill the process and close its log file."""
        self.send(signal.SIGKILL)
        self.popen.wait(STOP_TIMEOUT_S)
        self.log.close()

    def stop(self, timeout: float = STOP_TIMEOUT_S) -> int:
        """Terminate the process gracefully and wait for it to exit.

        Args:
            timeout: Seconds to wait.

        Returns:
            The exit code.

        Raises:
            TimeoutExpired: The process did not exit in time.
        """
        self.send(signal.SIGTERM)
        code = self.popen.wait(timeout)
        self.log.close()
        return code


def start_process(name: str, arguments: list[str], log_file: Path) -> RunningProcess:
    """Start a process, appending its output to a log file."""
    log = log_file.open("ab")
    popen = subprocess.Popen(  # noqa: S603
        arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT
    )
    return RunningProcess(name, popen, log)


def executable_path(name: str) -> str:
    """Return the path of a project executable in the current environment."""
    return str(Path(sys.executable).with_name(name))
