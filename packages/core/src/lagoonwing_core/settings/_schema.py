"""Validation schema for settings that reports all errors of a file."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from typing import Any

import msgspec
import voluptuous as vol
from msgspec import inspect

Validator = Callable[[Any], Any]


def build_schema(kind: type[msgspec.Struct]) -> vol.Schema:
    """Return the validation schema of a settings class; unknown keys are errors."""
    info = inspect.type_info(kind)
    assert isinstance(info, inspect.StructType)
    return vol.Schema(_object_schema(info), extra=vol.PREVENT_EXTRA)


def describe_type(info: inspect.Type) -> str:
    """Return a description of the values that a field accepts."""
    match info:
        case inspect.Metadata(type=inner, extra=extra):
            unit = (extra or {}).get("unit")
            if unit == "IP address":
                return "an IP address"
            return describe_type(inner) + (f" ({unit})" if unit else "")
        case inspect.EnumType(cls=cls):
            return "one of " + ", ".join(f'"{entry.value}"' for entry in cls)
        case inspect.StrType(pattern=pattern, min_length=min_length):
            if pattern:
                return f"a string that matches {pattern}"
            return "a string" if not min_length else "a non-empty string"
        case inspect.IntType(ge=low, le=high):
            return f"an integer{_describe_bounds(low, high)}"
        case inspect.FloatType(ge=low, le=high):
            return f"a number{_describe_bounds(low, high)}"
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


def _describe_bounds(low: float | None, high: float | None) -> str:
    """Return a description of numeric bounds."""
    match (low, high):
        case (None, None):
            return ""
        case (_, None):
            return f" of at least {low}"
        case (None, _):
            return f" of at most {high}"
        case _:
            return f" from {low} to {high}"


def _object_schema(info: inspect.StructType) -> dict[Any, Any]:
    """Return the schema of an object."""
    schema: dict[Any, Any] = {}
    for field in info.fields:
        marker = vol.Required if field.required else vol.Optional
        schema[marker(field.name)] = _build_validator(field.type)
    return schema


def _build_validator(info: inspect.Type) -> Any:
    """Return the validator of one value."""
    match info:
        case inspect.Metadata(type=inner, extra=extra):
            if (extra or {}).get("unit") == "IP address":
                return _check_ip_address
            return _build_validator(inner)
        case inspect.StructType():
            return _object_schema(info)
        case inspect.VarTupleType(item_type=item, min_length=min_length):
            return _list_validator(describe_type(info), _build_validator(item), min_length or 0)
        case inspect.UnionType(types=types):
            return _optional_validator(types)
        case _:
            return _scalar_validator(info)


def _optional_validator(types: tuple[inspect.Type, ...]) -> Any:
    """Return a validator that also accepts null."""
    (inner,) = (kind for kind in types if not isinstance(kind, inspect.NoneType))
    schema = vol.Schema(_build_validator(inner), extra=vol.PREVENT_EXTRA)

    def validate(value: Any) -> Any:
        return None if value is None else schema(value)

    return validate


def _list_validator(allowed: str, item: Any, min_entries: int) -> Validator:
    """Return a list validator that reports the errors of all entries, not only the first."""
    schema = vol.Schema(item, extra=vol.PREVENT_EXTRA)

    def validate(value: Any) -> Any:
        if not isinstance(value, list) or len(value) < min_entries:
            raise vol.Invalid(allowed)
        errors: list[vol.Invalid] = []
        for index, entry in enumerate(value):
            try:
                schema(entry)
            except vol.MultipleInvalid as invalid:
                invalid.prepend([index])
                errors.extend(invalid.errors)
        if errors:
            raise vol.MultipleInvalid(errors)
        return value

    return validate


def _scalar_validator(info: inspect.Type) -> Validator:
    """Return the validator of a scalar value."""

    def validate(value: Any) -> Any:
        if not _is_valid(info, value):
            raise vol.Invalid(describe_type(info))
        return value

    return validate


def _is_valid(info: inspect.Type, value: Any) -> bool:
    """Return whether a scalar value satisfies its type and constraints."""
    match info:
        case inspect.EnumType(cls=cls):
            return value in [entry.value for entry in cls]
        case inspect.StrType(pattern=pattern, min_length=min_length):
            if not isinstance(value, str) or len(value) < (min_length or 0):
                return False
            return pattern is None or re.search(pattern, value) is not None
        case inspect.BoolType():
            return isinstance(value, bool)
        case inspect.IntType(ge=low, le=high):
            return type(value) is int and _is_within(value, low, high)
        case inspect.FloatType(ge=low, le=high):
            return type(value) in (int, float) and _is_within(value, low, high)
        case _:
            raise TypeError(f"unsupported settings type: {info}")


def _is_within(value: float, low: float | None, high: float | None) -> bool:
    """Return whether a number is within its bounds."""
    return (low is None or value >= low) and (high is None or value <= high)


def _check_ip_address(value: Any) -> Any:
    """Reject values that are not IP addresses."""
    try:
        ipaddress.ip_address(value)
    except ValueError as error:
        raise vol.Invalid("an IP address") from error
    return value
