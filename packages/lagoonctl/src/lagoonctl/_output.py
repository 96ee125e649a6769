"""Tables for people, JSON for programs."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from google.protobuf.json_format import MessageToDict

Row = dict[str, Any]


def to_row(message: Any) -> Row:
    """Return a message's fields, with every field that has a value or a default."""
    row: Row = MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    for name, value in row.items():
        row[name] = _number(message, name, value)
    return row


def entity_row(entity: Any) -> Row:
    """Return the fields of the entity that an `Entity` holds."""
    kind = entity.WhichOneof("entity")
    return {} if kind is None else to_row(getattr(entity, kind))


def to_json(value: Any) -> str:
    """Return one line of JSON."""
    return json.dumps(value, sort_keys=True)


def table_cells(rows: Sequence[Row]) -> tuple[list[str], list[list[str]]]:
    """Return headers and cells of a table."""
    headers = list(dict.fromkeys(name for row in rows for name in row))
    return headers, [[_cell(row.get(name)) for name in headers] for row in rows]


def _number(message: Any, name: str, value: Any) -> Any:
    """Return an integer that protobuf's JSON gives as text, as a number."""
    if isinstance(value, str) and isinstance(getattr(message, name, None), int):
        is_enum = message.DESCRIPTOR.fields_by_name[name].enum_type is not None
        return value if is_enum else int(value)
    return value


def _cell(value: Any) -> str:
    """Return the text of one cell."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3g}"
    if isinstance(value, list):
        return " ".join(_short(str(item)) for item in value)
    return str(value)


def _short(text: str) -> str:
    """Return the beginning of a long text such as a digest."""
    return text if len(text) <= 24 else f"{text[:12]}.."
