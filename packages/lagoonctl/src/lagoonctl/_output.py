"""Table and JSON output."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from google.protobuf.json_format import MessageToDict

Row = dict[str, Any]


def to_row(message: Any) -> Row:
    """Return a message's fields, including those at their default value."""
    row: Row = MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    for name, value in row.items():
        row[name] = _restore_int(message, name, value)
    return row


def entity_row(entity: Any) -> Row:
    """Return the fields of the entity wrapped in an `Entity` message."""
    kind = entity.WhichOneof("entity")
    return {} if kind is None else to_row(getattr(entity, kind))


def to_json(value: Any) -> str:
    """Serialize a value as one line of JSON."""
    return json.dumps(value, sort_keys=True)


def table_cells(rows: Sequence[Row]) -> tuple[list[str], list[list[str]]]:
    """Return the headers and cells of a table."""
    headers = list(dict.fromkeys(name for row in rows for name in row))
    return headers, [[_cell(row.get(name)) for name in headers] for row in rows]


def _restore_int(message: Any, name: str, value: Any) -> Any:
    """Convert a 64-bit integer, which protobuf's JSON mapping encodes as a string."""
    if isinstance(value, str) and isinstance(getattr(message, name, None), int):
        is_enum = message.DESCRIPTOR.fields_by_name[name].enum_type is not None
        return value if is_enum else int(value)
    return value


def _cell(value: Any) -> str:
    """Format one table cell."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3g}"
    if isinstance(value, list):
        return " ".join(_truncate(str(item)) for item in value)
    return str(value)


def _truncate(text: str) -> str:
    """Truncate a long text such as a digest."""
    return text if len(text) <= 24 else f"{text[:12]}.."
