"""Schema that checks a whole settings file and reports every fault."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from typing import Any

import msgspec
import voluptuous as vol
from msgspec import inspect

Check = Callable[[Any], Any]


def build_schema(kind: type[msgspec.Struct]) -> vol.Schema:
    """Return the schema of a settings class; unknown keys are faults."""
    info = inspect.type_info(kind)
    assert isinstance(info, inspect.StructType)
    return vol.Schema(_object(info), extra=vol.PREVENT_EXTRA)


def describe_type(info: inspect.Type) -> str:
    """Return in words what values a field takes."""
    match info:
        case inspect.Metadata(type=inner, extra=extra):
            unit = (extra or {}).get("unit")
            if unit == "IP number":
                return "an IP number"
            return describe_type(inner) + (f" ({unit})" if unit else "")
        case inspect.EnumType(cls=cls):
            return "one of " + ", ".join(f'"{entry.value}"' for entry in cls)
        case inspect.StrType(pattern=pattern, min_length=min_length):
            if pattern:
                return f"a string that matches {pattern}"
            return "a string" if not min_length else "a string that is not empty"
        case inspect.IntType(ge=low, le=high):
            return f"a whole number{_range(low, high)}"
        case inspect.FloatType(ge=low, le=high):
            return f"a number{_range(low, high)}"
        case inspect.BoolType():
            return "true or false"
        case inspect.VarTupleType(item_type=item, min_length=min_length):
            entries = "a list" if not min_length else f"a list of {min_length} or more"
            return f"{entries}, each {describe_type(item)}"
        case inspect.StructType(cls=cls):
            fields = inspect.type_info(cls)
            assert isinstance(fields, inspect.StructType)
            return "an object with " + ", ".join(field.name for field in fields.fields)
        case inspect.UnionType(types=types):
            return " or ".join(describe_type(inner) for inner in types)
        case inspect.NoneType():
            return "null"
        case _:
            return type(info).__name__


def _range(low: float | None, high: float | None) -> str:
    """Return bounds in words."""
    if low is None and high is None:
        return ""
    return f" from {low} to {high}"


def _object(info: inspect.StructType) -> dict[Any, Any]:
    """Return the schema of an object's keys."""
    schema: dict[Any, Any] = {}
    for field in info.fields:
        marker = vol.Required if field.required else vol.Optional
        schema[marker(field.name)] = _check(field.type)
    return schema


def _check(info: inspect.Type) -> Any:
    """Return the check of one value."""
    match info:
        case inspect.Metadata(type=inner, extra=extra):
            if (extra or {}).get("unit") == "IP number":
                return _ip_number
            return _check(inner)
        case inspect.StructType():
            return _object(info)
        case inspect.VarTupleType(item_type=item, min_length=min_length):
            return _list(describe_type(info), _check(item), min_length or 0)
        case inspect.UnionType(types=types):
            return _optional(types)
        case _:
            return _scalar(info)


def _optional(types: tuple[inspect.Type, ...]) -> Any:
    """Return the check of a value that may be null."""
    (inner,) = (kind for kind in types if not isinstance(kind, inspect.NoneType))
    schema = vol.Schema(_check(inner), extra=vol.PREVENT_EXTRA)

    def check(value: Any) -> Any:
        return None if value is None else schema(value)

    return check


def _list(allowed: str, item: Any, least: int) -> Check:
    """Return a check of a list that reports the faults of all entries, not of the first alone."""
    schema = vol.Schema(item, extra=vol.PREVENT_EXTRA)

    def check(value: Any) -> Any:
        if not isinstance(value, list) or len(value) < least:
            raise vol.Invalid(allowed)
        faults: list[vol.Invalid] = []
        for index, entry in enumerate(value):
            try:
                schema(entry)
            except vol.MultipleInvalid as invalid:
                invalid.prepend([index])
                faults.extend(invalid.errors)
        if faults:
            raise vol.MultipleInvalid(faults)
        return value

    return check


def _scalar(info: inspect.Type) -> Check:
    """Return the check of a plain value, by the rules of its type."""

    def check(value: Any) -> Any:
        if not _fits(info, value):
            raise vol.Invalid(describe_type(info))
        return value

    return check


def _fits(info: inspect.Type, value: Any) -> bool:
    """Return whether a plain value is allowed."""
    match info:
        case inspect.EnumType(cls=cls):
            return value in [entry.value for entry in cls]
        case inspect.StrType(pattern=pattern, min_length=least):
            if not isinstance(value, str) or len(value) < (least or 0):
                return False
            return pattern is None or re.search(pattern, value) is not None
        case inspect.BoolType():
            return isinstance(value, bool)
        case inspect.IntType(ge=low, le=high):
            return type(value) is int and _within(value, low, high)
        case inspect.FloatType(ge=low, le=high):
            return type(value) in (int, float) and _within(value, low, high)
        case _:
            raise TypeError(f"settings hold no {info}")


def _within(value: float, low: float | None, high: float | None) -> bool:
    """Return whether a number lies within its bounds."""
    return (low is None or value >= low) and (high is None or value <= high)


def _ip_number(value: Any) -> Any:
    """Refuse all but IP numbers."""
    try:
        ipaddress.ip_address(value)
    except ValueError as error:
        raise vol.Invalid("an IP number") from error
    return value
