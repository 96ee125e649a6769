"""Stage process that forwards tokens directly to the next stage, for comparison only.

Arguments: address, port, and the address of the next stage or `-`.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from bench.entry.stages import adapter, stage_record
from lagoonwing_core.ids import Attempt, RequestId
from lagoonwing_core.models import LayerRange
from lagoonwing_entry.models import DispatchId, DispatchTarget, StageStep


class ChainHandler(RequestHandler):
    """`POST /stage/step`: returns the state, after forwarding it to any next stage."""

    def initialize(self, next_target: DispatchTarget | None, calls: Any) -> None:
        """Set the next stage."""
        self.next_target = next_target
        self.calls = calls

    async def post(self) -> None:
        """Run no layers; forward the state to the next stage if there is one."""
        body = msgspec.json.decode(self.request.body)
        state = msgspec.Raw(msgspec.json.encode(body["state"]))
        if self.next_target is not None:
            layers = self.next_target.record.layers
            assert layers is not None
            dispatch_id = DispatchId(RequestId(body["request_id"]), Attempt(body["attempt"]))
            step = StageStep(dispatch_id, body["token"], layers, state)
            state = await self.calls.async_step(self.next_target, step)
        self.set_header("X-Request-Id", body["request_id"])
        self.set_header("X-Attempt", str(body["attempt"]))
        self.finish(msgspec.json.encode({**body, "state": state}))


async def async_main(address: str, port: int, next_address: str) -> None:
    """Serve until killed."""
    target = None
    if next_address != "-":
        host, _, next_port = next_address.partition(":")
        target = DispatchTarget(stage_record("next", host, int(next_port), LayerRange(0, 1)))
    arguments = {"next_target": target, "calls": adapter()}
    application = Application(
        [("/stage/step", ChainHandler, arguments)], log_function=lambda handler: None
    )
    server = HTTPServer(application)
    server.add_sockets(bind_sockets(port, address))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(async_main(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
