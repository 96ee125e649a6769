"""Calls to control replicas, one after another until one answers."""

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
_UNANSWERED = (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED)


def new_change_id() -> str:
    """Return a change id that begins with the present time."""
    return f"{time.time_ns() // 1_000_000}-{secrets.token_hex(8)}"


class OperatorClient:
    """Sends each call to replicas in turn; the same message, so the same change id."""

    def __init__(self, addresses: list[str], token: str, timeout: float) -> None:
        self._addresses = addresses
        self._metadata = (("authorization", f"Bearer {token}"),)
        self._timeout = timeout
        self._channel_by_address: dict[str, grpc.Channel] = {}

    def __enter__(self) -> OperatorClient:
        """Return the client."""
        return self

    def __exit__(self, *details: object) -> None:
        """Close every channel."""
        for channel in self._channel_by_address.values():
            channel.close()

    def call(self, method: str, request: Any) -> Any:
        """Call a method of the schema.

        Args:
            method: Name of the method.
            request: Message of the method.

        Raises:
            CommandError: A replica refused, or none answered in time.
        """
        deadline = time.monotonic() + self._timeout
        last = "no replica answered"
        while True:
            for address in self._addresses:
                left = deadline - time.monotonic()
                if left <= 0:
                    raise CommandError(ExitCode.NO_ANSWER, last)
                try:
                    return self._method(address, method)(
                        request, timeout=min(left, ATTEMPT_TIMEOUT_S), metadata=self._metadata
                    )
                except grpc.RpcError as error:
                    if error.code() not in _UNANSWERED:
                        raise _refusal(error) from error
                    last = f"{address}: {error.code().name.lower()}: {error.details()}"
            time.sleep(min(RETRY_INTERVAL_S, max(0.0, deadline - time.monotonic())))

    def call_at(self, address: str, method: str, request: Any) -> Any:
        """Call a method at one replica.

        Raises:
            CommandError: The replica refused or did not answer.
        """
        try:
            return self._method(address, method)(
                request, timeout=min(self._timeout, ATTEMPT_TIMEOUT_S), metadata=self._metadata
            )
        except grpc.RpcError as error:
            if error.code() in _UNANSWERED:
                detail = f"{address}: {error.code().name.lower()}: {error.details()}"
                raise CommandError(ExitCode.NO_ANSWER, detail) from error
            raise _refusal(error) from error

    def stream(self, method: str, make_request: Callable[[], Any]) -> Iterator[Any]:
        """Yield the messages of a stream, from another replica when one is lost.

        Args:
            method: Name of the method.
            make_request: Makes the message of the next try, which may resume.

        Raises:
            CommandError: A replica refused, or none answered in time.
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
                if error.code() not in _UNANSWERED:
                    raise _refusal(error) from error
                if time.monotonic() > deadline:
                    raise CommandError(ExitCode.NO_ANSWER, f"{address}: {error}") from error
            time.sleep(RETRY_INTERVAL_S)

    @property
    def addresses(self) -> list[str]:
        """Addresses of the replicas."""
        return self._addresses

    def _method(self, address: str, method: str) -> Callable[..., Any]:
        """Return a method of one replica's stub."""
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = grpc.insecure_channel(address)
            self._channel_by_address[address] = channel
        stub = operator_pb2_grpc.OperatorStub(channel)
        found: Callable[..., Any] = getattr(stub, method)
        return found


def _refusal(error: grpc.RpcError) -> CommandError:
    """Return the error that a replica's refusal becomes."""
    metadata = dict(error.trailing_metadata() or ())
    number = metadata.get(_RESULT_CODE_METADATA)
    result_code = int(number) if number is not None else None
    exit_code = ExitCode.REFUSED
    if result_code == ResultCode.REVISION_CONFLICT:
        exit_code = ExitCode.CONFLICT
    detail = error.details() or error.code().name.lower()
    return CommandError(exit_code, detail, result_code)
