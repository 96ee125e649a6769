"""Ids, entities, result codes, log events, settings and clock shared by every process."""

from __future__ import annotations
