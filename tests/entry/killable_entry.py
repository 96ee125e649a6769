"""An entry host as a process of its own that kills itself at a given point.

Arguments: host id, control's port, and a fault point or `none`.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys

from control_support import make_follower
from entry_cell import ADDRESS, ClaimTable, Host, async_until

from lagoonwing_core.ids import FailureDomainId, HostId
from lagoonwing_core.models import HostAddress
from lagoonwing_entry.faults import FaultPoint


class KillAt:
    """Hook that ends the process without any notice."""

    def __init__(self, point: str) -> None:
        self._point = point

    def reach(self, point: FaultPoint) -> None:
        """Die at the point chosen."""
        if point.value == self._point:
            os.kill(os.getpid(), signal.SIGKILL)


async def async_main(host_id: str, control_port: int, point: str) -> None:
    """Serve until killed."""
    replica = HostAddress(
        host_id=HostId("control-1"),
        address=ADDRESS,
        port=control_port,
        failure_domain=FailureDomainId("a"),
    )
    follower = make_follower((replica,), host_id)
    await follower.async_setup()
    host = Host(host_id, ClaimTable(), faults=KillAt(point), follower=follower)
    await host.entry.async_setup()
    await async_until(lambda: follower.may_take_work() and follower.view.agreement_by_member)
    ports = {"caller": host.caller_port, "announce": host.announce_address}
    print(json.dumps(ports), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(async_main(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
