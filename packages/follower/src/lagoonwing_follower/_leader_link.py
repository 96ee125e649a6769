"""Links to the control replicas, with tracking of the current leader."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
from expression import Error, Ok, Result

from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import HostId
from lagoonwing_core.models import HostAddress
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_follower.const import RETRY_INTERVAL_S, UNRESPONSIVE_S
from lagoonwing_wire import Channel, Handlers, Identity, Link
from lagoonwing_wire.control_messages import (
    CONTROL_DECODER,
    PROTOCOL,
    ControlMessage,
    Refused,
    Relay,
    RelayReply,
)

_ENCODER = msgspec.msgpack.Encoder()
_RETRYABLE = (ResultCode.NOT_LEADER, ResultCode.NO_QUORUM)


class LeaderLink:
    """Sends calls to the leader and follows leader changes."""

    def __init__(
        self,
        replicas: tuple[HostAddress, ...],
        identity: Identity,
        on_push: Callable[[Channel[Any], ControlMessage], None],
        on_closed: Callable[[Channel[Any]], None],
    ) -> None:
        self.address_by_host = {replica.host_id: replica for replica in replicas}
        handlers = Handlers(
            decoder=CONTROL_DECODER,
            on_push=on_push,
            async_on_call=_async_refuse,
            on_closed=on_closed,
        )
        self._link_by_host = {
            replica.host_id: Link(identity, replica.address, replica.port, PROTOCOL, handlers)
            for replica in replicas
        }
        self._order = [replica.host_id for replica in replicas]
        self._position = 0
        # Leader named by another replica; it may be relayed to if its own channel is unavailable.
        self._leader_hint: HostId | None = None
        self._unresponsive_since_by_host: dict[HostId, float] = {}

    @property
    def target(self) -> HostId:
        """Replica that is called next; the leader if it is known."""
        return self._order[self._position % len(self._order)]

    async def async_setup(self) -> None:
        """Open the links."""
        for link in self._link_by_host.values():
            await link.async_setup()

    async def async_unload(self) -> None:
        """Close the links."""
        for link in self._link_by_host.values():
            await link.async_unload()

    @callback
    def channel(self, host_id: HostId) -> Channel[Any] | None:
        """Return the open channel to a replica, if there is one."""
        link = self._link_by_host.get(host_id)
        return None if link is None else link.channel

    @callback
    def responsive_channel(self, host_id: HostId) -> Channel[Any] | None:
        """Return the open channel to a replica unless a recent call on it timed out."""
        unresponsive_since = self._unresponsive_since_by_host.get(host_id)
        now = asyncio.get_running_loop().time()
        if unresponsive_since is not None and now - unresponsive_since < UNRESPONSIVE_S:
            return None
        return self.channel(host_id)

    @callback
    def any_responsive_channel(self) -> Channel[Any] | None:
        """Return the first open channel to a responsive replica."""
        channels = (self.responsive_channel(host_id) for host_id in self._order)
        return next((channel for channel in channels if channel is not None), None)

    @callback
    def follow_redirect(self, refused: Refused) -> None:
        """Select the leader that a replica names, or else the next replica."""
        if refused.leader in self._link_by_host and refused.leader != self.target:
            self._position = self._order.index(refused.leader)
            self._leader_hint = refused.leader
            return
        self.select_next()

    def _relay_channel(self, target: HostId) -> Channel[Any] | None:
        """Return the channel to relay through if the leader is not reachable directly."""
        if target != self._leader_hint:
            return None
        if self.responsive_channel(target) is not None:
            return None
        others = (self.responsive_channel(host_id) for host_id in self._order if host_id != target)
        return next((channel for channel in others if channel is not None), None)

    async def _async_call_through(
        self, relay: Channel[Any], message: ControlMessage, timeout: float
    ) -> Result[Any, Refusal]:
        """Call the leader by relaying through another replica."""
        reply = await relay.async_call(Relay(_ENCODER.encode(message)), timeout)
        match reply:
            case Result(tag="ok", ok=RelayReply(message=inner)):
                return Ok(CONTROL_DECODER.decode(inner))
            case _:
                self._leader_hint = None
                return reply

    @callback
    def _record_reply(self, host_id: HostId, reply: Result[Any, Refusal]) -> None:
        """Record whether a call to a replica timed out."""
        match reply:
            case Result(tag="error", error=Refusal(code=ResultCode.PEER_TIMEOUT)):
                self._unresponsive_since_by_host[host_id] = asyncio.get_running_loop().time()
            case _:
                self._unresponsive_since_by_host.pop(host_id, None)

    @callback
    def select_next(self) -> None:
        """Select the next replica."""
        self._position = (self._position + 1) % len(self._order)

    async def async_call_once(
        self, message: ControlMessage, timeout: float
    ) -> Result[Any, Refusal]:
        """Call the presumed leader once, and select another replica if it does not lead."""
        target = self.target
        channel = self.channel(target)
        relay = self._relay_channel(target)
        if relay is not None:
            reply = await self._async_call_through(relay, message, timeout)
        elif channel is None:
            self.select_next()
            return Error(Refusal(ResultCode.PEER_UNREACHABLE, f"no channel to {target}"))
        else:
            reply = await channel.async_call(message, timeout)
            self._record_reply(target, reply)
        match reply:
            case Result(tag="ok", ok=Refused(code=ResultCode.NOT_LEADER) as refused):
                if self.target == target:
                    self.follow_redirect(refused)
                return Error(Refusal(refused.code, refused.detail))
            case Result(tag="ok", ok=Refused(code=code, detail=detail)):
                return Error(Refusal(code, detail))
            case Result(tag="ok", ok=answer):
                return Ok(answer)
            case _:
                if self.target == target:
                    self.select_next()
                return reply

    async def async_call(self, message: ControlMessage, timeout: float) -> Result[Any, Refusal]:
        """Call the leader with retries until the timeout; the message must be idempotent."""
        # Uses the event loop's clock, as sleeps and call timeouts do.
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while True:
            left = deadline - loop.time()
            result = await self.async_call_once(message, max(0.01, left))
            match result:
                case Result(tag="error", error=Refusal(code=code)) if (
                    code in _RETRYABLE or code >= ResultCode.NOT_AUTHENTIC
                ):
                    if loop.time() + RETRY_INTERVAL_S >= deadline:
                        return result
                    await asyncio.sleep(RETRY_INTERVAL_S)
                case _:
                    return result


async def _async_refuse(channel: object, message: object) -> Refused:
    """Refuse calls from a replica."""
    return Refused(ResultCode.MESSAGE_INVALID, "a follower serves no calls")
