"""Loads a settings file, or gives every fault of it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import voluptuous as vol
from expression import Error, Ok, Result
from msgspec import inspect

from lagoonwing_core.settings._parsed import KeyPath, ParsedSettings, dotted_path
from lagoonwing_core.settings._plain import read_plain
from lagoonwing_core.settings._schema import build_schema, describe_type
from lagoonwing_core.settings.errors import SettingsFault
from lagoonwing_core.settings.models import HostSettings, Role

_MAX_FOUND_CHARACTERS = 60
_ROLES = frozenset(role.value for role in Role)
_ROLES_WITH_DISK = (Role.CONTROL.value, Role.REGISTRY.value)
_ROLES_WITH_REPLICAS = (Role.ENTRY.value, Role.CONTROL.value)
_ROLES_WITH_SEEDS = (Role.GATEWAY.value, Role.REGISTRY.value)


def load_settings(file: str) -> Result[HostSettings, tuple[SettingsFault, ...]]:
    """Read and check a settings file.

    Args:
        file: Path of the file.

    Returns:
        The settings, or every fault found.
    """
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error((SettingsFault(file, 0, "", str(error), "a readable UTF-8 file"),))
    return check_settings(file, text)


def check_settings(file: str, text: str) -> Result[HostSettings, tuple[SettingsFault, ...]]:
    """Check the text of a settings file.

    Args:
        file: Path used in faults.
        text: Contents of the file.
    """
    quick = ParsedSettings(file, read_plain(text), {(): 1})
    if quick.value is not None and not [*_schema_faults(quick), *_role_faults(quick)]:
        return Ok(msgspec.convert(quick.value, HostSettings))
    # Loaded only here, for the grammar takes longer to load than all else.
    from lagoonwing_core.settings._parser import parse_settings

    match parse_settings(file, text):
        case Result(tag="ok", ok=parsed):
            faults = [*parsed.faults, *_schema_faults(parsed), *_role_faults(parsed)]
        case Result(error=fault):
            return Error((fault,))
    if faults:
        return Error(tuple(sorted(faults, key=lambda fault: (fault.line, fault.key))))
    return Ok(msgspec.convert(parsed.value, HostSettings))


def _schema_faults(parsed: ParsedSettings) -> list[SettingsFault]:
    """Return the faults that the schema finds."""
    if not isinstance(parsed.value, dict):
        return [SettingsFault(parsed.file, 1, "", _show(parsed.value), "an object")]
    try:
        build_schema(HostSettings)(parsed.value)
    except vol.MultipleInvalid as invalid:
        return [_fault(parsed, error) for error in invalid.errors]
    return []


def _fault(parsed: ParsedSettings, error: vol.Invalid) -> SettingsFault:
    """Turn one of the schema's errors into a fault."""
    path: KeyPath = tuple(part if isinstance(part, int) else str(part) for part in error.path)
    key = dotted_path(path)
    line = _line(parsed, path)
    match error:
        case vol.RequiredFieldInvalid():
            return SettingsFault(parsed.file, line, key, "nothing", "this key, which is required")
        case vol.Invalid(error_message="extra keys not allowed"):
            return SettingsFault(parsed.file, line, key, "an unknown key", _known_keys(path[:-1]))
        case vol.DictInvalid():
            allowed = _known_keys(path) or "an object"
        case _:
            allowed = error.error_message
    return SettingsFault(parsed.file, line, key, _show(_value(parsed.value, path)), allowed)


def _line(parsed: ParsedSettings, path: KeyPath) -> int:
    """Return the line of a path, or of the nearest object around it."""
    while path not in parsed.line_by_path:
        path = path[:-1]
    return parsed.line_by_path[path]


def _known_keys(path: KeyPath) -> str:
    """Return in words the keys that an object takes."""
    info = inspect.type_info(HostSettings)
    for part in path:
        info = _descend(info, part)
    return describe_type(info)


def _descend(info: inspect.Type, part: str | int) -> inspect.Type:
    """Return the type below one part of a path."""
    match _plain(info):
        case inspect.StructType(fields=fields):
            return next(_plain(field.type) for field in fields if field.name == part)
        case inspect.VarTupleType(item_type=item):
            return _plain(item)
        case other:
            return other


def _plain(info: inspect.Type) -> inspect.Type:
    """Return a type without its metadata and without null."""
    match info:
        case inspect.Metadata(type=inner):
            return _plain(inner)
        case inspect.UnionType(types=types):
            return _plain(next(kind for kind in types if not isinstance(kind, inspect.NoneType)))
        case _:
            return info


def _value(value: Any, path: KeyPath) -> Any:
    """Return the value at a path."""
    for part in path:
        value = value[part]
    return value


def _show(value: Any) -> str:
    """Return a short text of what was found."""
    text = msgspec.json.encode(value).decode()
    if len(text) > _MAX_FOUND_CHARACTERS:
        return text[:_MAX_FOUND_CHARACTERS] + "..."
    return text


def _role_faults(parsed: ParsedSettings) -> list[SettingsFault]:
    """Return the faults between keys that the schema can't see."""
    settings = parsed.value
    if not isinstance(settings, dict):
        return []
    role = settings.get("role")
    faults: list[SettingsFault] = []
    if isinstance(role, str) and role in _ROLES and role not in settings:
        faults.append(_missing(parsed, role, f'this section, role is "{role}"'))
    if role in _ROLES_WITH_DISK and settings.get("data_folder") is None:
        faults.append(_missing(parsed, "data_folder", "a folder on a disk"))
    if settings.get("system_key_file") is None and settings.get("system_key") is None:
        allowed = "this key, or system_key"
        line = _line(parsed, ())
        faults.append(SettingsFault(parsed.file, line, "system_key_file", "nothing", allowed))
    if role in _ROLES_WITH_REPLICAS and not settings.get("replicas"):
        faults.append(_missing(parsed, "replicas", "a list of 1 or more"))
    if role in _ROLES_WITH_SEEDS and not settings.get("seeds"):
        faults.append(_missing(parsed, "seeds", "a list of 1 or more"))
    if role == Role.CONTROL.value:
        faults.extend(_replica_faults(parsed, settings))
    return faults


def _missing(parsed: ParsedSettings, key: str, allowed: str) -> SettingsFault:
    """Return the fault of a key that the role needs."""
    return SettingsFault(parsed.file, _line(parsed, ("role",)), key, "nothing", allowed)


def _replica_faults(parsed: ParsedSettings, settings: dict[str, Any]) -> list[SettingsFault]:
    """Return a fault where a control replica is missing from the list of replicas."""
    replicas = settings.get("replicas")
    if not isinstance(replicas, list):
        return []
    host_ids = [entry.get("host_id") for entry in replicas if isinstance(entry, dict)]
    if settings.get("host_id") in host_ids:
        return []
    line = _line(parsed, ("replicas",))
    found = "a list without this host"
    allowed = f"an entry with host_id {_show(settings.get('host_id'))}"
    return [SettingsFault(parsed.file, line, "replicas", found, allowed)]
