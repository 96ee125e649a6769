"""Operator schema and its generated code."""

from __future__ import annotations
