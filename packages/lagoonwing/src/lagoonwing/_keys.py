"""Loads the key shared by all processes."""

from __future__ import annotations

from pathlib import Path

from expression import Error, Ok, Result

from lagoonwing.const import MIN_SYSTEM_KEY_BYTES
from lagoonwing_core.settings import HostSettings, SettingsError


def load_system_key(settings: HostSettings) -> Result[bytes, SettingsError]:
    """Return the key from the settings or from the configured key file."""
    if settings.system_key is not None:
        return _check_length("system_key", settings.system_key.encode())
    return read_system_key(settings.system_key_file or "")


def read_system_key(file: str) -> Result[bytes, SettingsError]:
    """Return the key from a file, without surrounding white space such as a trailing newline."""
    try:
        key = Path(file).read_bytes().strip()
    except OSError as error:
        found = error.strerror or str(error)
        return Error(SettingsError(file, 0, "", found, "a readable key file"))
    return _check_length(file, key)


def _check_length(origin: str, key: bytes) -> Result[bytes, SettingsError]:
    """Return the key if it has the minimum length."""
    if len(key) < MIN_SYSTEM_KEY_BYTES:
        allowed = f"{MIN_SYSTEM_KEY_BYTES} bytes or more"
        return Error(SettingsError(origin, 0, "", f"{len(key)} bytes", allowed))
    return Ok(key)
