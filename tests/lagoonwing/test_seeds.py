"""Seeds of a running process follow the settings file."""

from __future__ import annotations

from pathlib import Path

import pytest

from lagoonwing._seeds import SeedReader
from lagoonwing_core.settings import HostSettings, load_settings

TEMPLATE = """{
    "role": "gateway",
    "host_id": "gateway-1",
    "failure_domain": "d-1",
    "address": "127.0.0.1",
    "peer_port": 7000,
    "system_key": "key-of-the-tests-0123456789",
    "seeds": [%s],
    "gateway": {"caller_listen": "127.0.0.1:7001", "ready_listen": "127.0.0.1:7002"},
}"""


def _write(file: Path, *seeds: str) -> None:
    """Write a settings file with seeds."""
    file.write_text(TEMPLATE % ", ".join(f'"{seed}:8000"' for seed in seeds), encoding="utf-8")


def _load(file: Path) -> HostSettings:
    """Return the settings of a file."""
    result = load_settings(str(file))
    assert result.is_ok(), result.error
    return result.ok


def _addresses(reader: SeedReader) -> list[str]:
    """Return the addresses of the seeds."""
    return [seed.address for seed in reader.read()]


# Guards against a gateway that was cut off while all replicas that it knew were replaced, and that
# goes on with the seeds of its start though its settings name others.
def test_changed_settings_file_names_new_seeds(tmp_path: Path) -> None:
    """Seeds are those of the file as it is now."""
    file = tmp_path / "settings.json"
    _write(file, "10.0.0.1", "10.0.0.2")
    reader = SeedReader(str(file), _load(file))
    assert _addresses(reader) == ["10.0.0.1", "10.0.0.2"]
    _write(file, "10.0.0.7")
    assert _addresses(reader) == ["10.0.0.7"]


@pytest.mark.parametrize("content", ["{", "", "[" * 100_000, '{"seeds": ["10.0.0.9:8000"]}'])
def test_invalid_settings_file_keeps_the_seeds(tmp_path: Path, content: str) -> None:
    """A file that is not valid, or gone, changes nothing; a later valid one is read."""
    file = tmp_path / "settings.json"
    _write(file, "10.0.0.1")
    reader = SeedReader(str(file), _load(file))
    file.write_text(content, encoding="utf-8")
    assert _addresses(reader) == ["10.0.0.1"]
    file.unlink()
    assert _addresses(reader) == ["10.0.0.1"]
    _write(file, "10.0.0.3", "10.0.0.4")
    assert _addresses(reader) == ["10.0.0.3", "10.0.0.4"]
