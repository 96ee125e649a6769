"""Control replica process for `bench.control_bench`: NUMBER BASE_PORT FOLDER."""

from __future__ import annotations

import asyncio
import hashlib
import sys
from pathlib import Path

from lagoonwing_control import (
    ControlService,
    ControlSettings,
    ControlStateMachine,
    OperatorToken,
)
from lagoonwing_core.ids import FailureDomainId, HostId
from lagoonwing_core.models import HostAddress
from lagoonwing_core.runtime import Runtime
from lagoonwing_replication import LogSettings, RaftLog, ReplicaHost
from lagoonwing_wire import ChannelServer, Identity

REPLICAS = 3
KEY = b"shared key of the bench"
TOKEN = "token-of-the-bench"


def addresses(base_port: int) -> tuple[HostAddress, ...]:
    """Return the peer addresses of the replicas."""
    return tuple(
        HostAddress(
            host_id=HostId(f"control-{number}"),
            address=f"127.0.0.{number + 21}",
            port=base_port,
            failure_domain=FailureDomainId(f"domain-{number}"),
        )
        for number in range(REPLICAS)
    )


async def async_run(number: int, base_port: int, folder: Path) -> None:
    """Serve until the process is killed."""
    replicas = addresses(base_port)
    own = replicas[number]
    identity = Identity(own.host_id, KEY)
    server = ChannelServer(identity, own.address, own.port)
    hosts = tuple(
        ReplicaHost(item.host_id, item.address, item.port, is_voter=True) for item in replicas
    )
    state_machine = ControlStateMachine()
    log_settings = LogSettings(own.host_id, folder / own.host_id, hosts)
    log = RaftLog(log_settings, state_machine, identity, server)
    operators = (OperatorToken("bench", hashlib.sha256(TOKEN.encode()).hexdigest()),)
    settings = ControlSettings(own.host_id, replicas, own.address, base_port + 1, operators)
    runtime = Runtime()
    runtime.register(server)
    runtime.register(ControlService(settings, identity, state_machine, log, server))
    runtime.register(log)
    await runtime.async_setup()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(async_run(int(sys.argv[1]), int(sys.argv[2]), Path(sys.argv[3])))
