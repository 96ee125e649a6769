"""Settings of a control replica."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonwing_control.const import ALLOTMENT_LEASE_S, CONFIGURATION_LEASE_S
from lagoonwing_core.ids import HostId
from lagoonwing_core.models import HostAddress

DEFAULT_MAX_REQUEST_S = 900.0


@dataclass(frozen=True, slots=True)
class OperatorToken:
    """An operator and the SHA-256 digest, in hexadecimal, of the operator's bearer token."""

    name: str
    token_hash: str


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """What a control replica is told at its start.

    Attributes:
        replicas: Every control replica, this one included, with its port for peers.
        grpc_address: IP number on which operators are served.
        metrics_port: Port for probes and metrics on the same IP number; `None` for none.
        max_request_s: Longest that a request may run; entry hosts hold to it.
        configuration_lease_s: How long an entry host takes new work after a contact.
        allotment_lease_s: How long a grant of a share of a cap holds.
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
