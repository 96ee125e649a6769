"""Simulated network of membership cells on a virtual clock, without faults."""

from __future__ import annotations

from collections import Counter

import msgspec

from bench.membership_network import DECODER, make_record
from lagoonwing_core.ids import FailureDomainId, HostId, Incarnation, ModelId
from lagoonwing_core.models import HostAddress
from lagoonwing_membership import (
    CellId,
    CellSettings,
    CellSummary,
    Membership,
    RemoteCell,
    Send,
)
from lagoonwing_membership.models import CellDigest, CellSummaries

STEP_S = 0.1
# Envelope and frame of a message on a stream, and the headers of the packet of a small message.
STREAM_OVERHEAD_BYTES = 8
PACKET_OVERHEAD_BYTES = 52
RENEW_S = 0.8


def _host_address(cell: int, number: int) -> HostAddress:
    """Return the address of a host."""
    return HostAddress(
        host_id=HostId(f"c{cell:03}-h{number}"),
        address=f"10.{cell // 256}.{cell % 256}.{number + 1}",
        port=7000,
        failure_domain=FailureDomainId(f"d{number % 3}"),
    )


class CellNetwork:
    """Hosts of several cells; each cell initially knows only the next one."""

    def __init__(self, cells: int, hosts: int, endpoints: int, models: int = 1) -> None:
        """Start every host.

        Args:
            cells: Number of cells.
            hosts: Number of hosts per cell.
            endpoints: Number of endpoints per cell.
            models: Number of models, spread round robin over the endpoints of a cell.
        """
        self._models = models
        self.cell_bytes: Counter[HostId] = Counter()
        self.now = 100.0
        self.sent_bytes: Counter[HostId] = Counter()
        self.received_bytes: Counter[HostId] = Counter()
        self.sent_messages: Counter[HostId] = Counter()
        self.largest_message_bytes = 0
        self._endpoints = endpoints
        self._sequence = 0
        self._next_renewal = self.now
        self._in_transit: list[tuple[HostId, HostId, bytes]] = []
        self.members: list[list[Membership]] = []
        self._member_by_id: dict[HostId, Membership] = {}
        for cell in range(cells):
            addresses = [_host_address(cell, number) for number in range(hosts)]
            next_cell = (cell + 1) % cells
            remote = RemoteCell(
                _cell_id(next_cell),
                tuple(_host_address(next_cell, n) for n in range(min(2, hosts))),
            )
            settings = CellSettings(_cell_id(cell), (remote,))
            members = [
                Membership(
                    address,
                    Incarnation(1000),
                    addresses,
                    seed=cell * 100 + number,
                    cells=settings,
                )
                for number, address in enumerate(addresses)
            ]
            self.members.append(members)
            for address, member in zip(addresses, members, strict=True):
                self._member_by_id[address.host_id] = member

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        end = self.now + seconds
        while self.now < end:
            self._step()

    def other_cells(self, cell: int, number: int) -> list[CellSummary]:
        """Return the summaries of other cells known to a host."""
        return self.members[cell][number].other_cells(self.now)

    def routable_endpoints(self, cell: int, number: int) -> set[str]:
        """Return the endpoints to which a host would route work."""
        return {str(r.endpoint_id) for r in self.members[cell][number].endpoints(self.now)}

    def stop(self, cell: int, number: int) -> None:
        """Stop a host permanently."""
        self._member_by_id.pop(_host_address(cell, number).host_id)

    def _step(self) -> None:
        """Advance the clock by one step."""
        self.now += STEP_S
        arriving, self._in_transit = self._in_transit, []
        for sender, receiver, body in arriving:
            member = self._member_by_id.get(receiver)
            if member is not None:
                self.received_bytes[receiver] += len(body)
                self._send(receiver, member.receive(sender, DECODER.decode(body), self.now))
        if self.now >= self._next_renewal:
            self._next_renewal += RENEW_S
            self._renew()
        for host_id, member in self._member_by_id.items():
            self._send(host_id, member.tick(self.now))

    def _renew(self) -> None:
        """Renew the announcement of every endpoint at one live host of its cell."""
        self._sequence += 1
        for cell, members in enumerate(self.members):
            live = [
                member
                for number, member in enumerate(members)
                if _host_address(cell, number).host_id in self._member_by_id
            ]
            for number in range(self._endpoints if live else 0):
                record = make_record(f"c{cell:03}-e{number:03}", sequence=self._sequence)
                model = ModelId(f"model-{number % self._models}")
                record = msgspec.structs.replace(record, models=(model,))
                live[(number + self._sequence) % len(live)].announce(record, self.now)

    def _send(self, sender: HostId, sends: list[Send]) -> None:
        """Queue messages for delivery."""
        for send in sends:
            body = msgspec.msgpack.encode(send.message)
            self.largest_message_bytes = max(self.largest_message_bytes, len(body))
            self.sent_bytes[sender] += len(body)
            self.sent_messages[sender] += 1
            if isinstance(send.message, CellDigest | CellSummaries):
                size = len(body) + STREAM_OVERHEAD_BYTES + PACKET_OVERHEAD_BYTES
                self.cell_bytes[sender] += size
                self.cell_bytes[send.to.host_id] += size
            self._in_transit.append((sender, send.to.host_id, body))


def _cell_id(cell: int) -> CellId:
    """Return the id of a cell."""
    return CellId(f"c{cell:03}")
