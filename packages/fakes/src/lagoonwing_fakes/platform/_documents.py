"""Configuration documents sent by the platform's operator."""

from __future__ import annotations

import json
from typing import Any

from lagoonwing_fakes.platform.const import CALLER_KEY, HOST_NAME

_ENGINE = {
    "slots": 8,
    "kv-bytes": 8_000,
    "stride": 1,
    "models": [{"name": "model", "pace": 1.0, "load-s": 0.1, "warm-s": 0}],
    "step_ms": 1.0,
    "per_seq_ms": 0.01,
    "context_per_k": 0.01,
    "read_per_s": 100_000.0,
    "loads_at_once": 5,
    "usual": {"prompt": 10, "answer": 6},
    "layers": 8,
    "layer-mb": 1.0,
    "act-bytes": 10,
    "pipe-mbps": 1_000.0,
    "kinds": [{"name": "small", "size-mb": 6.0, "pace": 1.0, "read-x": 1.0}],
}


def make_document(version: int = 1, **changes: Any) -> bytes:
    """Build an operator document with a safe, an unsafe and a stream route."""

    def make_route(name: str, kind: str, service: str, **overrides: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST_NAME,
            "path-prefix": f"/{name}/",
            "kind": kind,
            "timeout-ms": 3000,
            "slo-ms": 400,
            "priority": 1,
            "service": service,
            "max-attempts": 2,
            "public": False,
            **overrides,
        }

    body = {
        "version": version,
        "routes": [
            make_route("safe", "safe", "plain"),
            make_route("unsafe", "unsafe", "plain", **{"max-attempts": 1}),
            make_route("stream", "stream", "engines", resumable=True, **{"gap-target-ms": 200}),
        ],
        "services": [
            {"name": "plain", "health-path": "/healthz", "max-connections": 8},
            {"name": "engines", "health-path": "/healthz", "max-connections": 8, "engine": _ENGINE},
        ],
        "tenants": [{"name": "m-1", "api-keys": [CALLER_KEY], "priority": 1}],
    }
    return json.dumps({**body, **changes}).encode()
