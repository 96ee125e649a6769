"""Deployments of system processes on loopback, for the demo, proofs and benchmarks."""

from __future__ import annotations

from lagoonwing_fakes.deployment._deployment import Deployment, DeploymentError
from lagoonwing_fakes.deployment._settings_files import host_address, host_id
from lagoonwing_fakes.deployment.const import CALLER_PORT
from lagoonwing_fakes.deployment.models import DeploymentPlan, HostPolicies, HostProcess

__all__ = [
    "CALLER_PORT",
    "Deployment",
    "DeploymentError",
    "DeploymentPlan",
    "HostPolicies",
    "HostProcess",
    "host_address",
    "host_id",
]
