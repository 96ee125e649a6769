"""Reference table of all settings for the documentation."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from msgspec import inspect

from lagoonwing_core.settings._load import _unwrap_type
from lagoonwing_core.settings._schema import describe_type
from lagoonwing_core.settings.models import HostSettings


@dataclass(frozen=True, slots=True)
class SettingReference:
    """One row of the reference table.

    Attributes:
        key: Dotted path; `[]` stands for each entry of a list.
        default: JSON text, or `required`.
    """

    key: str
    allowed: str
    default: str
    description: str


def list_settings() -> tuple[SettingReference, ...]:
    """Return all settings in model order."""
    return tuple(_rows(inspect.type_info(HostSettings), ""))


def render_settings() -> str:
    """Return the reference table as Markdown."""
    lines = ["| key | allowed | default | what it changes |", "|---|---|---|---|"]
    for row in list_settings():
        allowed = row.allowed.replace("|", "\\|")
        lines.append(f"| `{row.key}` | {allowed} | {row.default} | {row.description} |")
    return "\n".join(lines) + "\n"


def _rows(info: inspect.Type, prefix: str) -> list[SettingReference]:
    """Return the rows of an object and its nested objects."""
    plain = _unwrap_type(info)
    assert isinstance(plain, inspect.StructType)
    rows: list[SettingReference] = []
    for field in plain.fields:
        key = prefix + field.name
        rows.append(
            SettingReference(
                key, describe_type(field.type), _default(field), _description(field.type)
            )
        )
        inner = _unwrap_type(field.type)
        if isinstance(inner, inspect.StructType):
            rows.extend(_rows(inner, f"{key}."))
        if isinstance(inner, inspect.VarTupleType):
            item = _unwrap_type(inner.item_type)
            if isinstance(item, inspect.StructType):
                rows.extend(_rows(item, f"{key}[]."))
    return rows


def _default(field: inspect.Field) -> str:
    """Return the default as JSON text."""
    if field.required:
        return "required"
    return f"`{msgspec.json.encode(field.default).decode()}`"


def _description(info: inspect.Type) -> str:
    """Return the field description declared in the model."""
    if not isinstance(info, inspect.Metadata):
        return ""
    return str((info.extra_json_schema or {}).get("description", ""))
