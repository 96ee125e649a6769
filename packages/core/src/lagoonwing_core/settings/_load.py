"""Loads and validates settings files."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import voluptuous as vol
from expression import Error, Ok, Result
from msgspec import inspect

from lagoonwing_core.settings._fast_parser import parse_without_line_numbers
from lagoonwing_core.settings._parsed import KeyPath, ParsedSettings, dotted_path
from lagoonwing_core.settings._schema import build_schema, describe_type
from lagoonwing_core.settings.errors import SettingsError
from lagoonwing_core.settings.models import HostSettings, Role

_MAX_VALUE_CHARACTERS = 60
_ROLES = frozenset(role.value for role in Role)
_ROLES_WITH_DATA_FOLDER = (Role.CONTROL.value, Role.REGISTRY.value)
_ROLES_WITH_REPLICAS = (Role.ENTRY.value, Role.CONTROL.value)
_ROLES_WITH_SEEDS = (Role.GATEWAY.value, Role.REGISTRY.value)


def load_settings(file: str) -> Result[HostSettings, tuple[SettingsError, ...]]:
    """Read and validate a settings file.

    Args:
        file: Path of the file.

    Returns:
        The settings, or all errors found.
    """
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error((SettingsError(file, 0, "", str(error), "a readable UTF-8 file"),))
    return check_settings(file, text)


def check_settings(file: str, text: str) -> Result[HostSettings, tuple[SettingsError, ...]]:
    """Validate the text of a settings file.

    Args:
        file: Path shown in error messages.
        text: Contents of the file.
    """
    try:
        return _check_text(file, text)
    except RecursionError:
        error = SettingsError(file, 1, "", "values that are nested too deeply", "an object")
        return Error((error,))


def _check_text(file: str, text: str) -> Result[HostSettings, tuple[SettingsError, ...]]:
    """Validate a text.

    Raises:
        RecursionError: Its values are nested too deeply.
    """
    unlocated = ParsedSettings(file, parse_without_line_numbers(text), {(): 1})
    if unlocated.value is not None and not [*_schema_errors(unlocated), *_role_errors(unlocated)]:
        return Ok(msgspec.convert(unlocated.value, HostSettings))
    # The fast parser records no lines, so a file with errors is parsed again for its messages.
    # Imported lazily: building the grammar takes longer than all other imports.
    from lagoonwing_core.settings._parser import parse_settings

    match parse_settings(file, text):
        case Result(tag="ok", ok=parsed):
            errors = [*parsed.errors, *_schema_errors(parsed), *_role_errors(parsed)]
        case Result(error=error):
            return Error((error,))
    if errors:
        return Error(tuple(sorted(errors, key=lambda error: (error.line, error.key))))
    return Ok(msgspec.convert(parsed.value, HostSettings))


def _schema_errors(parsed: ParsedSettings) -> list[SettingsError]:
    """Return the schema validation errors."""
    if not isinstance(parsed.value, dict):
        return [SettingsError(parsed.file, 1, "", _format_value(parsed.value), "an object")]
    try:
        build_schema(HostSettings)(parsed.value)
    except vol.MultipleInvalid as invalid:
        return [_convert_error(parsed, error) for error in invalid.errors]
    return []


def _convert_error(parsed: ParsedSettings, error: vol.Invalid) -> SettingsError:
    """Convert a schema validation error."""
    path: KeyPath = tuple(part if isinstance(part, int) else str(part) for part in error.path)
    key = dotted_path(path)
    line = _line_of(parsed, path)
    match error:
        case vol.RequiredFieldInvalid():
            return SettingsError(parsed.file, line, key, "nothing", "this key, which is required")
        case vol.Invalid(error_message="extra keys not allowed"):
            return SettingsError(
                parsed.file, line, key, "an unknown key", _describe_keys(path[:-1])
            )
        case vol.DictInvalid():
            allowed = _describe_keys(path) or "an object"
        case _:
            allowed = error.error_message
    return SettingsError(
        parsed.file, line, key, _format_value(_value_at(parsed.value, path)), allowed
    )


def _line_of(parsed: ParsedSettings, path: KeyPath) -> int:
    """Return the line of a path, or of the nearest enclosing object."""
    while path not in parsed.line_by_path:
        path = path[:-1]
    return parsed.line_by_path[path]


def _describe_keys(path: KeyPath) -> str:
    """Return a description of the keys that an object accepts."""
    info = inspect.type_info(HostSettings)
    for part in path:
        info = _child_type(info, part)
    return describe_type(info)


def _child_type(info: inspect.Type, part: str | int) -> inspect.Type:
    """Return the type of a child field or list item."""
    match _unwrap_type(info):
        case inspect.StructType(fields=fields):
            return next(_unwrap_type(field.type) for field in fields if field.name == part)
        case inspect.VarTupleType(item_type=item):
            return _unwrap_type(item)
        case other:
            return other


def _unwrap_type(info: inspect.Type) -> inspect.Type:
    """Return a type without metadata and without null."""
    match info:
        case inspect.Metadata(type=inner):
            return _unwrap_type(inner)
        case inspect.UnionType(types=types):
            return _unwrap_type(
                next(kind for kind in types if not isinstance(kind, inspect.NoneType))
            )
        case _:
            return info


def _value_at(value: Any, path: KeyPath) -> Any:
    """Return the value at a path."""
    for part in path:
        value = value[part]
    return value


def _format_value(value: Any) -> str:
    """Return a value as JSON text, truncated if long."""
    text = msgspec.json.encode(value).decode()
    if len(text) > _MAX_VALUE_CHARACTERS:
        return text[:_MAX_VALUE_CHARACTERS] + "..."
    return text


def _role_errors(parsed: ParsedSettings) -> list[SettingsError]:
    """Return violations of rules across keys, which the schema cannot express."""
    settings = parsed.value
    if not isinstance(settings, dict):
        return []
    role = settings.get("role")
    errors: list[SettingsError] = []
    if isinstance(role, str) and role in _ROLES and role not in settings:
        errors.append(_missing_error(parsed, role, f'this section, role is "{role}"'))
    if role in _ROLES_WITH_DATA_FOLDER and settings.get("data_folder") is None:
        errors.append(_missing_error(parsed, "data_folder", "a folder on a disk"))
    if settings.get("system_key_file") is None and settings.get("system_key") is None:
        allowed = "this key, or system_key"
        line = _line_of(parsed, ())
        errors.append(SettingsError(parsed.file, line, "system_key_file", "nothing", allowed))
    if role in _ROLES_WITH_REPLICAS and not settings.get("replicas"):
        errors.append(_missing_error(parsed, "replicas", "a list of 1 or more"))
    if role in _ROLES_WITH_SEEDS and not settings.get("seeds"):
        errors.append(_missing_error(parsed, "seeds", "a list of 1 or more"))
    if role == Role.CONTROL.value:
        errors.extend(_replica_errors(parsed, settings))
    return errors


def _missing_error(parsed: ParsedSettings, key: str, allowed: str) -> SettingsError:
    """Return the error for a missing key that the role requires."""
    return SettingsError(parsed.file, _line_of(parsed, ("role",)), key, "nothing", allowed)


def _replica_errors(parsed: ParsedSettings, settings: dict[str, Any]) -> list[SettingsError]:
    """Return an error if a control replica is not in its own list of replicas."""
    replicas = settings.get("replicas")
    if not isinstance(replicas, list):
        return []
    host_ids = [entry.get("host_id") for entry in replicas if isinstance(entry, dict)]
    if settings.get("host_id") in host_ids:
        return []
    line = _line_of(parsed, ("replicas",))
    found = "a list without this host"
    allowed = f"an entry with host_id {_format_value(settings.get('host_id'))}"
    return [SettingsError(parsed.file, line, "replicas", found, allowed)]
