"""Stand-ins for endpoints, for tests and benchmarks."""

from __future__ import annotations
