"""Tests of capacity summaries between cells."""

from __future__ import annotations

import pytest

from bench.cell_network import CellNetwork
from lagoonwing_membership.const import CELL_SUMMARY_TTL_S


@pytest.fixture(scope="module")
def settled() -> CellNetwork:
    """Return twelve cells of three hosts that have exchanged summaries."""
    network = CellNetwork(cells=12, hosts=3, endpoints=10)
    network.run(90.0)
    return network


def test_every_representative_knows_every_cell(settled: CellNetwork) -> None:
    """Both representatives of each cell hold the capacity of all other cells."""
    for cell in range(12):
        for number in range(2):
            known = {summary.cell_id: summary for summary in settled.other_cells(cell, number)}
            assert len(known) == 11
            for summary in known.values():
                (row,) = summary.rows
                assert (row.endpoints, row.slots, row.free_slots) == (10, 40, 40)


def test_other_hosts_hold_an_excerpt_of_cells(settled: CellNetwork) -> None:
    """A host that does not represent its cell holds the summaries of some cells, not all."""
    for cell in range(12):
        assert 0 < len(settled.other_cells(cell, 2)) < 11


def test_endpoints_stay_in_their_cell(settled: CellNetwork) -> None:
    """No host receives endpoint records of another cell."""
    for cell in range(12):
        for number in range(3):
            names = settled.routable_endpoints(cell, number)
            assert {name.split("-")[0] for name in names} == {f"c{cell:03}"}


def test_used_slots_reduce_free_slots_in_summaries() -> None:
    """Running attempts are subtracted from the free slots that other cells see."""
    network = CellNetwork(cells=4, hosts=2, endpoints=5)
    network.run(30.0)
    for member in network.members[0]:
        member.set_running({record.endpoint_id: 3 for record in member.endpoints(network.now)})
    network.run(70.0)
    for cell in (1, 2, 3):
        known = {summary.cell_id: summary for summary in network.other_cells(cell, 0)}
        assert known["c000"].rows[0].free_slots == 5


def test_next_host_becomes_representative() -> None:
    """After a cell loses its first representative, other cells receive the new ones."""
    network = CellNetwork(cells=4, hosts=3, endpoints=5)
    network.run(30.0)
    network.stop(0, 0)
    network.run(90.0)
    known = {summary.cell_id: summary for summary in network.other_cells(2, 0)}
    assert [item.host_id for item in known["c000"].representatives] == ["c000-h1", "c000-h2"]


def test_summary_of_a_stopped_cell_expires() -> None:
    """Summaries expire at every host that received them, gossip between hosts included."""
    network = CellNetwork(cells=3, hosts=2, endpoints=2)
    network.run(30.0)
    network.stop(0, 0)
    network.stop(0, 1)
    network.run(CELL_SUMMARY_TTL_S + 1.0)
    for cell in (1, 2):
        assert {summary.cell_id for summary in network.other_cells(cell, 0)} == {f"c00{3 - cell}"}
