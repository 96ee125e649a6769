"""Settings files of a deployment that are rewritten while processes read them."""

from __future__ import annotations

import threading
from pathlib import Path

from lagoonwing_fakes.deployment._settings_files import write_settings
from lagoonwing_fakes.deployment.models import DeploymentPlan, HostProcess

WRITES = 300


def test_settings_are_replaced_atomically(tmp_path: Path) -> None:
    """Readers see complete key and settings files while these are rewritten."""
    plan = DeploymentPlan(folder=tmp_path)
    path = write_settings(plan, HostProcess.CONTROL, 1)
    key_file = tmp_path / "system.key"
    complete = (key_file.read_bytes(), path.read_bytes())
    seen: set[tuple[bytes, bytes]] = set()
    done = threading.Event()

    def read() -> None:
        while not done.is_set():
            seen.add((key_file.read_bytes(), path.read_bytes()))

    reader = threading.Thread(target=read)
    reader.start()
    for _ in range(WRITES):
        write_settings(plan, HostProcess.CONTROL, 1)
    done.set()
    reader.join()
    assert seen == {complete}
