"""Measures of the product against bounds and against its own baseline."""

from __future__ import annotations
