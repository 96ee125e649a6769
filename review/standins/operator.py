"""Stand-in of the operator and of its configuration."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from standins.http import async_request

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
_CALL_ATTEMPTS = 40
_FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})


def route(name: str, prefix: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": 4000,
        "slo-ms": 500,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "public": False,
        **changes,
    }


def service(name: str) -> dict[str, Any]:
    """Return a service of plain servers."""
    return {
        "name": name,
        "health-path": "/healthz",
        "max-connections": 48,
        "protocol": "h1",
        "tls": False,
    }


def engine_service(name: str) -> dict[str, Any]:
    """Return a service of model servers, each of which can hold all layers."""
    engine = {
        "slots": 96,
        "kv-tokens": 50000,
        "kv-bytes": 8000,
        "stride": 1,
        "models": [{"name": "daka510000", "pace": 1.0, "load-s": 0.5, "warm-s": 0.0}],
        "step_ms": 1.02,
        "per_seq_ms": 0.01428,
        "context_per_k": 0.01912,
        "read_per_s": 105000.0,
        "loads_at_once": 5,
        "usual": {"prompt": 774, "answer": 204},
        "layers": 8,
        "layer-mb": 1750.0,
        "act-bytes": 91800,
        "pipe-mbps": 22000.0,
        "kinds": [{"name": "a100", "size-mb": 72000.0, "pace": 2.4, "read-x": 3.2}],
    }
    return {**service(name), "max-connections": 898, "engine": engine}


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a complete configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "hule930", "api-keys": [KEY], "priority": 1}],
    }


async def async_put(
    controls: list[str], document: dict[str, Any], record: Any, timeout_s: float = 3.0
) -> bool:
    """Send a configuration until it is acknowledged; return whether it was."""
    body = json.dumps(document).encode()
    headers = {"Content-Type": "application/json"}
    for attempt in range(_CALL_ATTEMPTS):
        control = controls[attempt % len(controls)]
        try:
            response = await async_request(
                control, "POST", "/lagoonwing/config/put", headers, body, timeout_s
            )
            status: int | str = response.status
        except (OSError, EOFError, TimeoutError) as error:
            status = type(error).__name__
        record("config put", version=document["version"], to=control, status=status)
        if status == 200:
            return True
        if status in _FINAL_STATUSES:
            return False
        await asyncio.sleep(min(1.0, 0.1 * (attempt + 1)))
    return False


async def async_get_version(control: str, record: Any) -> int | None:
    """Read the configuration at one machine; return its version, or None without an answer."""
    try:
        response = await async_request(control, "GET", "/lagoonwing/config/get", {})
    except (OSError, EOFError, TimeoutError) as error:
        record("config get", of=control, status=type(error).__name__)
        return None
    version = json.loads(response.body)["version"] if response.status == 200 else None
    record("config get", of=control, status=response.status, version=version)
    return version
