"""Runs the binary as a module."""

from __future__ import annotations

from lagoonwing.main import main

main()
