"""gRPC server of the operator API."""

from __future__ import annotations

import grpc

from lagoonwing_control._authenticator import Authenticator
from lagoonwing_control._components import ReplicaComponents
from lagoonwing_control._operator_service import OperatorService
from lagoonwing_control.const import MAX_GRPC_MESSAGE_BYTES
from lagoonwing_control.settings import ControlSettings
from lagoonwing_core.clock import Clock
from lagoonwing_rpc import operator_pb2_grpc

MAX_CONCURRENT_CALLS = 256
STOP_GRACE_S = 0.2


class OperatorServer:
    """Serves the operator API of one replica."""

    name = "operator_server"

    def __init__(
        self, settings: ControlSettings, components: ReplicaComponents, clock: Clock
    ) -> None:
        self._settings = settings
        self._authenticator = Authenticator(settings.operators)
        self._service = OperatorService(settings, components, self._authenticator, clock)
        self._server: grpc.aio.Server | None = None

    async def async_setup(self) -> None:
        """Start listening."""
        options = [
            ("grpc.max_receive_message_length", MAX_GRPC_MESSAGE_BYTES),
            # Without SO_REUSEPORT, a port configured twice fails instead of going unnoticed.
            ("grpc.so_reuseport", 0),
        ]
        server = grpc.aio.server(options=options, maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS)
        operator_pb2_grpc.add_OperatorServicer_to_server(self._service, server)
        server.add_insecure_port(f"{self._settings.grpc_address}:{self._settings.grpc_port}")
        await server.start()
        self._server = server

    async def async_unload(self) -> None:
        """Stop listening and end all calls."""
        if self._server is not None:
            await self._server.stop(STOP_GRACE_S)
