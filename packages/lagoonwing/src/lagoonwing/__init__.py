"""Command line entry point and process assembly."""

from __future__ import annotations
