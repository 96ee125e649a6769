"""Fakes of the users' platform: endpoints, operator documents and system processes."""

from __future__ import annotations

from lagoonwing_fakes.site._documents import make_document
from lagoonwing_fakes.site._endpoint import Endpoint, WorkHandler, start_endpoint
from lagoonwing_fakes.site._processes import Processes, SiteProcess, make_processes
from lagoonwing_fakes.site._requests import (
    heartbeat_path,
    make_caller_headers,
    make_heartbeat,
)

__all__ = [
    "Endpoint",
    "Processes",
    "SiteProcess",
    "WorkHandler",
    "heartbeat_path",
    "make_caller_headers",
    "make_document",
    "make_heartbeat",
    "make_processes",
    "start_endpoint",
]
