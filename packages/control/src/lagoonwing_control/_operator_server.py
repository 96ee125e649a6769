"""gRPC server of one replica and its check of operators' tokens."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

import grpc

from lagoonwing_control._operator_service import OperatorService
from lagoonwing_control.const import MAX_GRPC_MESSAGE_BYTES
from lagoonwing_control.settings import ControlSettings, OperatorToken
from lagoonwing_core.clock import Clock
from lagoonwing_rpc import operator_pb2_grpc

if TYPE_CHECKING:
    from lagoonwing_control._coordinator import ControlService

MAX_CONCURRENT_CALLS = 256
STOP_GRACE_S = 0.2
_BEARER = "Bearer "


class OperatorServer:
    """Listens for operators."""

    name = "operator_server"

    def __init__(self, settings: ControlSettings, service: ControlService, clock: Clock) -> None:
        self._settings = settings
        self._authenticator = Authenticator(settings.operators)
        self._service = OperatorService(settings, service, self._authenticator, clock)
        self._server: grpc.aio.Server | None = None

    async def async_setup(self) -> None:
        """Start to listen."""
        options = [
            ("grpc.max_receive_message_length", MAX_GRPC_MESSAGE_BYTES),
            # Two processes on one port would hide a wrong settings file.
            ("grpc.so_reuseport", 0),
        ]
        server = grpc.aio.server(options=options, maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS)
        operator_pb2_grpc.add_OperatorServicer_to_server(self._service, server)
        server.add_insecure_port(f"{self._settings.grpc_address}:{self._settings.grpc_port}")
        await server.start()
        self._server = server

    async def async_unload(self) -> None:
        """Stop to listen and end every call."""
        if self._server is not None:
            await self._server.stop(STOP_GRACE_S)


class Authenticator:
    """Finds the operator to whom a bearer token belongs."""

    def __init__(self, operators: tuple[OperatorToken, ...]) -> None:
        self._operators = operators

    def operator(self, metadata: tuple[tuple[str, str | bytes], ...]) -> str | None:
        """Return the operator's name, or `None` if the token is absent or wrong."""
        for key, value in metadata:
            if key == "authorization" and isinstance(value, str) and value.startswith(_BEARER):
                return self._by_token(value.removeprefix(_BEARER))
        return None

    def _by_token(self, token: str) -> str | None:
        """Return the name of the operator with a token."""
        token_hash = hashlib.sha256(token.encode()).hexdigest()
        found: str | None = None
        for operator in self._operators:
            if hmac.compare_digest(token_hash, operator.token_hash):
                found = operator.name
        return found
