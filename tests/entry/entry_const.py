"""Keys, addresses and limits of the entry host tests."""

from __future__ import annotations

MEMBER_KEY = "member-key"
ENDPOINT_KEY = "endpoint-key"
ADDRESS = "127.0.0.1"
# Ends a test that hangs.
HANG_TIMEOUT_S = 20.0
