"""Submits commands to the replicated log, through the leader if another replica leads."""

from __future__ import annotations

import asyncio

import msgspec
from expression import Error, Ok, Result

from lagoonwing_catalog import encode_command
from lagoonwing_catalog.messages import ApplyResult, Command, Refused, Submit, Submitted
from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import HostId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_registry._peers import Peers
from lagoonwing_registry.const import (
    FORWARD_TIMEOUT_S,
    LEADER_ATTEMPTS,
    LEADER_RETRY_INTERVAL_S,
    PROPOSE_TIMEOUT_S,
)
from lagoonwing_replication import ReplicatedLog

_APPLIED_DECODER = msgspec.msgpack.Decoder(ApplyResult)


class Proposer:
    """Proposes commands locally or forwards them to the leader."""

    def __init__(self, log: ReplicatedLog, peers: Peers) -> None:
        self._log = log
        self._peers = peers

    async def async_submit(self, command: Command) -> Result[ApplyResult, Refusal]:
        """Commit a command; commands are idempotent, so they are retried after a lost response.

        Returns:
            The result, or a refusal; after a refusal the command may still have been committed.
        """
        encoded = encode_command(command)
        refusal = Refusal(ResultCode.NOT_LEADER, "no leader is known")
        for _ in range(LEADER_ATTEMPTS):
            result = await self._async_submit_once(encoded)
            match result:
                case Result(tag="ok", ok=payload):
                    return Ok(_APPLIED_DECODER.decode(payload))
                case Result(error=Refusal(code=ResultCode.NOT_LEADER) as refusal):
                    await asyncio.sleep(LEADER_RETRY_INTERVAL_S)
                case Result(error=refusal):
                    return Error(refusal)
        return Error(refusal)

    async def async_answer_submit(self, message: Submit) -> Submitted | Refused:
        """Propose a command forwarded by another replica."""
        result = await self._log.async_propose(message.command, PROPOSE_TIMEOUT_S)
        match result:
            case Result(tag="ok", ok=payload):
                return Submitted(payload)
            case Result(error=refusal):
                return Refused(refusal.code, refusal.detail)

    async def _async_submit_once(self, encoded: bytes) -> Result[bytes, Refusal]:
        """Submit a command to the current leader once."""
        if self._log.lease_term() is not None:
            return await self._log.async_propose(encoded, PROPOSE_TIMEOUT_S)
        leader = self._log.status().leader or HostId("")
        reply = await self._peers.async_call(leader, Submit(encoded), FORWARD_TIMEOUT_S)
        match reply:
            case Result(tag="ok", ok=Submitted(result=payload)):
                return Ok(payload)
            case Result(tag="ok", ok=Refused(code=code, detail=detail)):
                return Error(Refusal(code, detail))
            case Result(error=Refusal(code=ResultCode.PEER_UNREACHABLE, detail=detail)):
                return Error(Refusal(ResultCode.NOT_LEADER, detail))
            case _:
                return Error(Refusal(ResultCode.NO_QUORUM, f"no answer from leader {leader}"))
