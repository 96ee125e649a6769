"""Durable state of the system and its operator service."""

from __future__ import annotations
