"""Limits of the catalog."""

from __future__ import annotations

# Maximum number of records before those of inactive endpoints are evicted. They are kept so that
# delayed announcements don't reactivate the endpoints.
MAX_INACTIVE_RECORDS = 4_096
PROTOCOL = "catalog"
