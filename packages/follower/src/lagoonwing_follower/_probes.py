"""Probes of the voters while no leader answers."""

from __future__ import annotations

import asyncio

from expression import Result

from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import HostId
from lagoonwing_follower._leader_link import LeaderLink
from lagoonwing_follower._lease import Answered, DeclaredLost, Refusing, VoterEvidence
from lagoonwing_follower.const import PROBE_TIMEOUT_S
from lagoonwing_wire.control_messages import Probe, ProbeReply


class VoterProber:
    """Collects evidence on whether each voter can be part of an unseen majority."""

    def __init__(self, links: LeaderLink, clock: Clock) -> None:
        self._links = links
        self._clock = clock
        self.evidence_by_voter: dict[HostId, VoterEvidence] = {}

    def clear(self) -> None:
        """Drop all evidence; called when a leader answers."""
        self.evidence_by_voter.clear()

    def most_advanced_voter(self) -> HostId | None:
        """Return the answering voter with the highest applied revision, if any."""
        answered = [
            (evidence.applied, voter)
            for voter, evidence in self.evidence_by_voter.items()
            if isinstance(evidence, Answered)
        ]
        return max(answered)[1] if answered else None

    async def async_probe(self, voters: tuple[HostId, ...]) -> None:
        """Probe every voter once, concurrently."""
        await asyncio.gather(*(self._async_probe(voter) for voter in voters))

    async def _async_probe(self, voter: HostId) -> None:
        """Probe one voter, or check whether its address refuses connections."""
        sent = self._clock.now()
        channel = self._links.channel(voter)
        if channel is None:
            await self._async_check_connection(voter, sent)
            return
        reply = await channel.async_call(Probe(), PROBE_TIMEOUT_S)
        match reply:
            case Result(tag="ok", ok=ProbeReply() as probe_reply):
                self.evidence_by_voter[voter] = Answered(
                    sent, probe_reply.knows_leader, probe_reply.applied
                )
                self._record_declared_lost(probe_reply.lost_hosts, sent)
            case _:
                pass

    def _record_declared_lost(self, lost_hosts: tuple[HostId, ...], sent: float) -> None:
        """Record lost declarations of voters that don't answer themselves."""
        for host_id in lost_hosts:
            evidence = self.evidence_by_voter.get(host_id)
            if not isinstance(evidence, Answered) or evidence.sent < sent - PROBE_TIMEOUT_S:
                self.evidence_by_voter[host_id] = DeclaredLost(sent)

    async def _async_check_connection(self, voter: HostId, tried: float) -> None:
        """Record whether a voter's address actively refuses a connection."""
        address = self._links.address_by_host.get(voter)
        if address is None:
            return
        try:
            _, writer = await asyncio.wait_for(
                asyncio.open_connection(address.address, address.port), PROBE_TIMEOUT_S
            )
        except ConnectionRefusedError:
            former = self.evidence_by_voter.get(voter)
            refusing = former.refused_again(tried) if isinstance(former, Refusing) else None
            if not isinstance(former, DeclaredLost):
                self.evidence_by_voter[voter] = refusing or Refusing(tried, tried)
            return
        except (OSError, TimeoutError):
            # No response: the voter may be alive behind a partition.
            if isinstance(self.evidence_by_voter.get(voter), Refusing):
                del self.evidence_by_voter[voter]
            return
        writer.close()
        self.evidence_by_voter.pop(voter, None)
