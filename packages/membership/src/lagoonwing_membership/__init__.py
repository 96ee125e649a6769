"""Membership of entry hosts and endpoint records without I/O."""

from __future__ import annotations
