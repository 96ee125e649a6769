"""Fakes of the users' platform: endpoints, operator documents and system processes."""

from __future__ import annotations

from lagoonwing_fakes.platform._connection_owner import connection_owner
from lagoonwing_fakes.platform._crashing_prompts import Arrival, CrashingPrompts
from lagoonwing_fakes.platform._documents import make_document
from lagoonwing_fakes.platform._endpoint import Endpoint, WorkHandler, start_endpoint
from lagoonwing_fakes.platform._processes import Processes, SystemProcess, make_processes
from lagoonwing_fakes.platform._requests import (
    heartbeat_path,
    make_caller_headers,
    make_heartbeat,
)

__all__ = [
    "Arrival",
    "CrashingPrompts",
    "Endpoint",
    "Processes",
    "SystemProcess",
    "WorkHandler",
    "connection_owner",
    "heartbeat_path",
    "make_caller_headers",
    "make_document",
    "make_heartbeat",
    "make_processes",
    "start_endpoint",
]
