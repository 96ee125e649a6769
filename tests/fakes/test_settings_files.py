"""Files of a deployment that processes read while others are written."""

from __future__ import annotations

import threading
from pathlib import Path

from lagoonwing_fakes.deployment._settings_files import write_settings
from lagoonwing_fakes.deployment.models import DeploymentPlan, HostProcess

WRITES = 300


def test_readers_never_see_a_part_of_a_file(tmp_path: Path) -> None:
    """Each read while files are written again gives a whole key and whole settings."""
    plan = DeploymentPlan(folder=tmp_path)
    path = write_settings(plan, HostProcess.CONTROL, 1)
    key_file = tmp_path / "system.key"
    whole = (key_file.read_bytes(), path.read_bytes())
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
    assert seen == {whole}
