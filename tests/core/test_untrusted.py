"""Data of other writers is decoded into the form in which it is compared."""

from __future__ import annotations

import pytest

from lagoonwing_core.untrusted import parse_socket_address


# Guards against an endpoint that keeps an address which another one has taken over, since the same
# address is written in two ways.
@pytest.mark.parametrize(
    ("text", "address"),
    [
        ("10.0.0.1:80", "10.0.0.1"),
        ("::ffff:10.0.0.1:80", "10.0.0.1"),
        ("::FFFF:0a00:0001:80", "10.0.0.1"),
        ("FE80:0::1:80", "fe80::1"),
        ("::1:080", "::1"),
    ],
)
def test_address_has_one_form(text: str, address: str) -> None:
    """IPv4 addresses inside IPv6 ones, letters, zeros and ports are written alike."""
    assert parse_socket_address(text).ok == (address, 80)


@pytest.mark.parametrize("text", ["::ffff:0.0.0.0:80", "::ffff:224.0.0.1:80", "010.0.0.1:80"])
def test_address_of_no_host_is_refused_in_each_form(text: str) -> None:
    """What is refused as IPv4 is refused inside an IPv6 address as well."""
    assert parse_socket_address(text).is_error()
