"""Runs an entry host that sends itself a signal at a given fault point.

Arguments: host id, address and port of control, a fault point or `none`, and a signal name.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys

from control_support import make_follower
from entry_cluster import Host, async_wait_until
from entry_control import SharedControlState

from lagoonwing_core.ids import FailureDomainId, HostId
from lagoonwing_core.models import HostAddress
from lagoonwing_entry.faults import FaultPoint


class SignalAtFaultPoint:
    """Fault hook that sends a signal to its own process."""

    def __init__(self, point: str, number: signal.Signals) -> None:
        self._point = point
        self._number = number

    def on_fault_point(self, point: FaultPoint) -> None:
        """Send the signal at the chosen fault point."""
        if point.value == self._point:
            os.kill(os.getpid(), self._number)


async def async_main(
    host_id: str, control_address: str, control_port: int, hook: SignalAtFaultPoint
) -> None:
    """Run the entry host until killed."""
    replica = HostAddress(
        host_id=HostId("control-1"),
        address=control_address,
        port=control_port,
        failure_domain=FailureDomainId("a"),
    )
    follower = make_follower((replica,), host_id)
    await follower.async_setup()
    host = Host(host_id, SharedControlState(), faults=hook, follower=follower)
    await host.entry.async_setup()
    await async_wait_until(lambda: follower.may_take_work() and follower.view.agreement_by_member)
    ports = {"caller": host.caller_port, "announce": host.announce_address}
    print(json.dumps(ports), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    own_id, control_address, port, point, number = sys.argv[1:]
    chosen = SignalAtFaultPoint(point, signal.Signals[number])
    asyncio.run(async_main(own_id, control_address, int(port), chosen))
