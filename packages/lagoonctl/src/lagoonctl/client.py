"""gRPC client that fails over between control replicas."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable, Iterator
from typing import Any

import grpc

from lagoonctl.const import ATTEMPT_TIMEOUT_S, RETRY_INTERVAL_S, ExitCode
from lagoonctl.errors import CommandError
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_rpc import operator_pb2_grpc

_RESULT_CODE_METADATA = "lagoonwing-result-code"
_RETRYABLE_STATUS_CODES = (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED)


def new_change_id() -> str:
    """Return a unique change id prefixed with the current time in milliseconds."""
    return f"{time.time_ns() // 1_000_000}-{secrets.token_hex(8)}"


class OperatorClient:
    """Calls replicas in turn until one responds.

    Every attempt sends the same message with the same change id, so a retried change is applied at
    most once.
    """

    def __init__(self, addresses: list[str], token: str, timeout: float) -> None:
        self._addresses = addresses
        self._metadata = (("authorization", f"Bearer {token}"),)
        self._timeout = timeout
        self._channel_by_address: dict[str, grpc.Channel] = {}

    def __enter__(self) -> OperatorClient:
        """Enter the context."""
        return self

    def __exit__(self, *details: object) -> None:
        """Close all channels."""
        for channel in self._channel_by_address.values():
            channel.close()

    def call(self, method: str, request: Any) -> Any:
        """Call a method, trying replicas in turn until one responds.

        Args:
            method: Name of the RPC method.
            request: Request message.

        Raises:
            CommandError: A replica refused the request, or none responded in time.
        """
        deadline = time.monotonic() + self._timeout
        last_error = "no replica responded"
        while True:
            for address in self._addresses:
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0:
                    raise CommandError(ExitCode.NO_ANSWER, last_error)
                try:
                    return self._method(address, method)(
                        request,
                        timeout=min(remaining_s, ATTEMPT_TIMEOUT_S),
                        metadata=self._metadata,
                    )
                except grpc.RpcError as error:
                    if error.code() not in _RETRYABLE_STATUS_CODES:
                        raise _to_command_error(error) from error
                    last_error = f"{address}: {error.code().name.lower()}: {error.details()}"
            time.sleep(min(RETRY_INTERVAL_S, max(0.0, deadline - time.monotonic())))

    def call_at(self, address: str, method: str, request: Any) -> Any:
        """Call a method at one replica.

        Raises:
            CommandError: The replica refused the request or did not respond.
        """
        try:
            return self._method(address, method)(
                request, timeout=min(self._timeout, ATTEMPT_TIMEOUT_S), metadata=self._metadata
            )
        except grpc.RpcError as error:
            if error.code() in _RETRYABLE_STATUS_CODES:
                detail = f"{address}: {error.code().name.lower()}: {error.details()}"
                raise CommandError(ExitCode.NO_ANSWER, detail) from error
            raise _to_command_error(error) from error

    def stream(self, method: str, make_request: Callable[[], Any]) -> Iterator[Any]:
        """Yield the messages of a stream, failing over to another replica if it is lost.

        Args:
            method: Name of the RPC method.
            make_request: Builds the request of each attempt, so that it can resume.

        Raises:
            CommandError: A replica refused the request, or none responded in time.
        """
        deadline = time.monotonic() + self._timeout
        position = 0
        while True:
            address = self._addresses[position % len(self._addresses)]
            position += 1
            try:
                for message in self._method(address, method)(
                    make_request(), metadata=self._metadata
                ):
                    deadline = time.monotonic() + self._timeout
                    yield message
            except grpc.RpcError as error:
                if error.code() not in _RETRYABLE_STATUS_CODES:
                    raise _to_command_error(error) from error
                if time.monotonic() > deadline:
                    raise CommandError(ExitCode.NO_ANSWER, f"{address}: {error}") from error
            time.sleep(RETRY_INTERVAL_S)

    @property
    def addresses(self) -> list[str]:
        """Replica addresses."""
        return self._addresses

    def _method(self, address: str, method: str) -> Callable[..., Any]:
        """Return a stub method of one replica, opening its channel on first use."""
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = grpc.insecure_channel(address)
            self._channel_by_address[address] = channel
        stub = operator_pb2_grpc.OperatorStub(channel)
        stub_method: Callable[..., Any] = getattr(stub, method)
        return stub_method


def _to_command_error(error: grpc.RpcError) -> CommandError:
    """Convert the gRPC error of a refused request."""
    metadata = dict(error.trailing_metadata() or ())
    code_text = metadata.get(_RESULT_CODE_METADATA)
    result_code = int(code_text) if code_text is not None else None
    exit_code = ExitCode.REFUSED
    if result_code == ResultCode.REVISION_CONFLICT:
        exit_code = ExitCode.CONFLICT
    detail = error.details() or error.code().name.lower()
    return CommandError(exit_code, detail, result_code)
