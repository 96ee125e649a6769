"""Settings of a control replica."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_control.const import ALLOTMENT_LEASE_S, CONFIGURATION_LEASE_S
from lagoonwing_core.ids import HostId
from lagoonwing_core.models import HostAddress

DEFAULT_MAX_REQUEST_S = 900.0


@dataclass(frozen=True, slots=True)
class OperatorToken:
    """An operator and the hexadecimal SHA-256 digest of the operator's bearer token."""

    name: str
    token_hash: str


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Start-up settings of a control replica.

    Attributes:
        replicas: Every control replica, including this one, with its peer port.
        grpc_address: IP address of the operator API.
        metrics_port: Port for health checks and metrics on the same IP address; `None` disables it.
        max_request_s: Maximum run time of a request; enforced by the entry hosts.
        configuration_lease_s: Time after a contact for which an entry host may take new work.
        allotment_lease_s: Validity of a grant of a share of a cap.
    """

    host_id: HostId
    replicas: tuple[HostAddress, ...]
    grpc_address: str
    grpc_port: int
    operators: tuple[OperatorToken, ...]
    metrics_port: int | None = None
    max_request_s: float = DEFAULT_MAX_REQUEST_S
    configuration_lease_s: float = CONFIGURATION_LEASE_S
    allotment_lease_s: float = ALLOTMENT_LEASE_S
