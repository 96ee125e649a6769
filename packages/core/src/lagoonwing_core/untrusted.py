"""Decoding of data from writers that may send anything."""

from __future__ import annotations

import ipaddress
from typing import Annotated, TypeVar

import msgspec
from expression import Error, Ok, Result

ValueT = TypeVar("ValueT")

# Integers that every reader and every format between processes can hold.
Integer = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]

_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


def decode_json(decoder: msgspec.json.Decoder[ValueT], body: bytes) -> Result[ValueT, str]:
    """Return a decoded value, or why the bytes can't be read; never raises."""
    try:
        return Ok(decoder.decode(body))
    except RecursionError:
        return Error("values are nested too deeply")
    except (msgspec.MsgspecError, UnicodeDecodeError, OverflowError) as error:
        return Error(str(error))


def _without_mapping(
    ip_address: ipaddress.IPv4Address | ipaddress.IPv6Address,
) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
    """Return the IPv4 address that an IPv6 address stands for, if any; addresses are compared."""
    mapped = None if ip_address.version == 4 else ip_address.ipv4_mapped
    return ip_address if mapped is None else mapped


def parse_socket_address(text: str) -> Result[tuple[str, int], str]:
    """Return the IP address and port of a text, or why no connection to them can be opened."""
    address, _, digits = text.rpartition(":")
    try:
        ip_address = _without_mapping(ipaddress.ip_address(address))
    except ValueError as error:
        return Error(str(error))
    if ip_address.is_unspecified or ip_address.is_multicast or "%" in address:
        return Error(f"{address!r} is not the address of a host")
    is_number = digits.isascii() and digits.isdigit() and len(digits) <= _MAX_PORT_DIGITS
    if not is_number or not 0 < int(digits) <= _MAX_PORT:
        return Error(f"{digits[:20]!r} is not a port")
    return Ok((str(ip_address), int(digits)))
