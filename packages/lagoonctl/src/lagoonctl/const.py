"""Exit codes and defaults of the command line."""

from __future__ import annotations

from enum import IntEnum
from typing import Any

from lagoonwing_rpc import operator_pb2 as pb


class ExitCode(IntEnum):
    """Exit codes; documented in `docs/CLI.md`."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    NO_ANSWER = 3
    CONFLICT = 4


DEFAULT_ADDRESS = "127.0.0.1:7500"
DEFAULT_TIMEOUT_S = 10.0
# Timeout of a call to one replica, after which the next one is tried.
ATTEMPT_TIMEOUT_S = 4.0
RETRY_INTERVAL_S = 0.2
PAGE_SIZE = 200

ENV_ADDRESS = "LAGOONCTL_ADDRESS"
ENV_TOKEN = "LAGOONCTL_TOKEN"

ENTITY_KIND_BY_NAME: dict[str, Any] = {
    "member": pb.ENTITY_KIND_MEMBER,
    "agreement": pb.ENTITY_KIND_AGREEMENT,
    "configuration": pb.ENTITY_KIND_CONFIGURATION,
    "stop": pb.ENTITY_KIND_STOP,
    "quarantine": pb.ENTITY_KIND_QUARANTINE,
}
