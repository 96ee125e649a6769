"""An entry host as a process of its own that kills or stops itself at a given point.

Arguments: host id, control's port, a fault point or `none`, and the name of a signal.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys

from control_support import make_follower
from entry_cell import ClaimTable, Host, async_until

from lagoonwing_core.ids import FailureDomainId, HostId
from lagoonwing_core.models import HostAddress
from lagoonwing_entry.faults import FaultPoint


class SignalAt:
    """Hook that sends the process a signal without any notice."""

    def __init__(self, point: str, number: signal.Signals) -> None:
        self._point = point
        self._number = number

    def on_fault_point(self, point: FaultPoint) -> None:
        """Send the signal at the point chosen."""
        if point.value == self._point:
            os.kill(os.getpid(), self._number)


async def async_main(host_id: str, control_address: str, control_port: int, hook: SignalAt) -> None:
    """Serve until killed."""
    replica = HostAddress(
        host_id=HostId("control-1"),
        address=control_address,
        port=control_port,
        failure_domain=FailureDomainId("a"),
    )
    follower = make_follower((replica,), host_id)
    await follower.async_setup()
    host = Host(host_id, ClaimTable(), faults=hook, follower=follower)
    await host.entry.async_setup()
    await async_until(lambda: follower.may_take_work() and follower.view.agreement_by_member)
    ports = {"caller": host.caller_port, "announce": host.announce_address}
    print(json.dumps(ports), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    own_id, ip_number, port, point, number = sys.argv[1:]
    chosen = SignalAt(point, signal.Signals[number])
    asyncio.run(async_main(own_id, ip_number, int(port), chosen))
