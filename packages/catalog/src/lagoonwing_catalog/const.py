"""Limits of the catalog."""

from __future__ import annotations

# Records of endpoints that are gone, kept so that late announcements don't revive them.
MAX_GONE_RECORDS = 4_096
PROTOCOL = "catalog"
