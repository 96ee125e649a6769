"""Identifiers, entities, result codes, log events, settings and clocks shared by all processes."""

from __future__ import annotations
