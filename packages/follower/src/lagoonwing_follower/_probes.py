"""Finds out what voters know of a leader while none answers."""

from __future__ import annotations

import asyncio

from expression import Result

from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import HostId
from lagoonwing_follower._leader_link import LeaderLink
from lagoonwing_follower._lease import Answered, DeclaredLost, Refusing, VoterEvidence
from lagoonwing_follower.const import PROBE_TIMEOUT_S
from lagoonwing_wire.control_messages import Probe, ProbeReply


class Prober:
    """Collects evidence of each voter."""

    def __init__(self, links: LeaderLink, clock: Clock) -> None:
        self._links = links
        self._clock = clock
        self.evidence_by_voter: dict[HostId, VoterEvidence] = {}

    def clear(self) -> None:
        """Forget all evidence, for a leader answers."""
        self.evidence_by_voter.clear()

    def newest_voter(self) -> HostId | None:
        """Return the answering voter that has applied most, if any answers."""
        answered = [
            (evidence.applied, voter)
            for voter, evidence in self.evidence_by_voter.items()
            if isinstance(evidence, Answered)
        ]
        return max(answered)[1] if answered else None

    async def async_probe(self, voters: tuple[HostId, ...]) -> None:
        """Ask every voter once, all at the same time."""
        await asyncio.gather(*(self._async_probe(voter) for voter in voters))

    async def _async_probe(self, voter: HostId) -> None:
        """Ask one voter, or find out whether its address refuses connections."""
        sent = self._clock.now()
        channel = self._links.channel(voter)
        if channel is None:
            await self._async_try_connection(voter, sent)
            return
        reply = await channel.async_call(Probe(), PROBE_TIMEOUT_S)
        match reply:
            case Result(tag="ok", ok=ProbeReply() as told):
                self.evidence_by_voter[voter] = Answered(sent, told.knows_leader, told.applied)
                self._note_lost(told.lost_hosts, sent)
            case _:
                pass

    def _note_lost(self, lost_hosts: tuple[HostId, ...], sent: float) -> None:
        """Take an operator's declaration for the voters that don't answer themselves."""
        for host_id in lost_hosts:
            evidence = self.evidence_by_voter.get(host_id)
            if not isinstance(evidence, Answered) or evidence.sent < sent - PROBE_TIMEOUT_S:
                self.evidence_by_voter[host_id] = DeclaredLost(sent)

    async def _async_try_connection(self, voter: HostId, tried: float) -> None:
        """Note whether a voter's address actively refuses a connection."""
        address = self._links.address_by_host.get(voter)
        if address is None:
            return
        try:
            _, writer = await asyncio.wait_for(
                asyncio.open_connection(address.address, address.port), PROBE_TIMEOUT_S
            )
        except ConnectionRefusedError:
            former = self.evidence_by_voter.get(voter)
            refusing = former.again(tried) if isinstance(former, Refusing) else None
            if not isinstance(former, DeclaredLost):
                self.evidence_by_voter[voter] = refusing or Refusing(tried, tried)
            return
        except (OSError, TimeoutError):
            # Nothing answers: the voter may be alive beyond a partition.
            if isinstance(self.evidence_by_voter.get(voter), Refusing):
                del self.evidence_by_voter[voter]
            return
        writer.close()
        self.evidence_by_voter.pop(voter, None)
