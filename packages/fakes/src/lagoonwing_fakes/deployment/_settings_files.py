"""Writes the settings files of a deployment."""

from __future__ import annotations

import hashlib
import json
from pathlib import Path
from typing import Any

from lagoonwing_fakes.deployment.const import (
    ANNOUNCE_PORT,
    CALLER_PORT,
    ENDPOINT_KEY,
    FAILURE_DOMAINS,
    FIRST_HOST_OCTET,
    METRICS_PORT,
    OPERATOR_KEY,
    OPERATOR_PORT,
    PEER_PORT,
    REPLICA_PORT,
    SYSTEM_KEY,
)
from lagoonwing_fakes.deployment.models import DeploymentPlan, HostProcess


def host_id(number: int) -> str:
    """Return the id of a host, numbered from 1."""
    return f"host-{number}"


def host_address(plan: DeploymentPlan, number: int) -> str:
    """Return the loopback address of a host, numbered from 1."""
    return f"127.{plan.network}.{FIRST_HOST_OCTET + number - 1}"


def failure_domain(number: int) -> str:
    """Return the failure domain of a host, numbered from 1."""
    return FAILURE_DOMAINS[(number - 1) % len(FAILURE_DOMAINS)]


def write_settings(plan: DeploymentPlan, process: HostProcess, number: int) -> Path:
    """Write the settings file of one process.

    Returns:
        Path of the file.
    """
    key_file = plan.folder / "system.key"
    _write_atomically(key_file, SYSTEM_KEY)
    document = _common_settings(plan, process, number, key_file)
    match process:
        case HostProcess.ENTRY:
            document["entry"] = _entry_settings(plan, number)
        case HostProcess.CONTROL:
            document["control"] = {
                "operators": [{"name": "operator", "key_hash": _key_hash(OPERATOR_KEY)}],
                "operator_port": OPERATOR_PORT,
                "metrics_port": METRICS_PORT,
            }
    path = plan.folder / f"{process.value}-{number}.json"
    _write_atomically(path, json.dumps(document, indent=4))
    return path


def _write_atomically(path: Path, text: str) -> None:
    """Replace a file atomically, as other processes may read it while it is rewritten."""
    temp_path = path.with_name(f"{path.name}.new")
    temp_path.write_text(text, encoding="utf-8")
    temp_path.replace(path)


def _common_settings(
    plan: DeploymentPlan, process: HostProcess, number: int, key_file: Path
) -> dict[str, Any]:
    """Return the settings common to all roles."""
    is_entry = process is HostProcess.ENTRY
    return {
        "role": process.value,
        "host_id": host_id(number),
        "failure_domain": failure_domain(number),
        "address": host_address(plan, number),
        "peer_port": PEER_PORT if is_entry else REPLICA_PORT,
        "system_key_file": str(key_file),
        "data_folder": str(plan.folder / f"{process.value}-{number}"),
        "replicas": [_replica_settings(plan, other) for other in range(1, plan.replicas + 1)],
    }


def _replica_settings(plan: DeploymentPlan, number: int) -> dict[str, Any]:
    """Return the settings of one replica."""
    return {
        "host_id": host_id(number),
        "failure_domain": failure_domain(number),
        "address": host_address(plan, number),
        "port": REPLICA_PORT,
        "starts_as": "voter" if number <= plan.voters else "learner",
    }


def _entry_settings(plan: DeploymentPlan, number: int) -> dict[str, Any]:
    """Return the `entry` section of an entry host."""
    return {
        "endpoint_key_hashes": [_key_hash(ENDPOINT_KEY)],
        "caller_port": CALLER_PORT,
        "announce_port": ANNOUNCE_PORT,
        "peers": [
            {
                "host_id": host_id(other),
                "failure_domain": failure_domain(other),
                "address": host_address(plan, other),
                "port": PEER_PORT,
            }
            for other in range(1, plan.entries + 1)
            if other != number
        ],
        "drain_grace_s": plan.drain_grace_s,
        "limit_policy": plan.policies.limit_policy,
        "queue_policy": plan.policies.queue_policy,
        "route_policy": plan.policies.route_policy,
    }


def _key_hash(key: str) -> str:
    """Return the SHA-256 hash of a key, as stored in settings."""
    return hashlib.sha256(key.encode()).hexdigest()
