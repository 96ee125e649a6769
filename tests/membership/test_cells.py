"""Cells: summaries reach other cells, and only summaries do."""

from __future__ import annotations

import pytest

from bench.cell_network import CellNetwork
from lagoonwing_membership.const import CELL_SUMMARY_LIFE_S


@pytest.fixture(scope="module")
def settled() -> CellNetwork:
    """Twelve cells of three hosts that have exchanged summaries."""
    network = CellNetwork(cells=12, hosts=3, endpoints=10)
    network.run(90.0)
    return network


def test_every_representative_knows_every_cell(settled: CellNetwork) -> None:
    """Both representatives of each cell know the room of all others."""
    for cell in range(12):
        for number in range(2):
            known = {summary.cell_id: summary for summary in settled.others(cell, number)}
            assert len(known) == 11
            for summary in known.values():
                (row,) = summary.rows
                assert (row.endpoints, row.slots, row.free_slots) == (10, 40, 40)


def test_other_hosts_know_the_cells_with_most_room(settled: CellNetwork) -> None:
    """A host that doesn't represent its cell is told some cells, not all."""
    for cell in range(12):
        assert 0 < len(settled.others(cell, 2)) < 11


def test_endpoints_stay_in_their_cell(settled: CellNetwork) -> None:
    """No host hears of an endpoint of another cell."""
    for cell in range(12):
        for number in range(3):
            names = settled.names(cell, number)
            assert {name.split("-")[0] for name in names} == {f"c{cell:03}"}


def test_used_slots_are_told() -> None:
    """What runs is taken off the free slots that others hear of."""
    network = CellNetwork(cells=4, hosts=2, endpoints=5)
    network.run(30.0)
    for member in network.members[0]:
        member.set_running({record.endpoint_id: 3 for record in member.endpoints(network.now)})
    network.run(70.0)
    for cell in (1, 2, 3):
        known = {summary.cell_id: summary for summary in network.others(cell, 0)}
        assert known["c000"].rows[0].free_slots == 5


def test_next_host_takes_over_the_summary() -> None:
    """The cell goes on being known after its first representative is gone, and changes."""
    network = CellNetwork(cells=4, hosts=3, endpoints=5)
    network.run(30.0)
    network.stop(0, 0)
    network.run(90.0)
    known = {summary.cell_id: summary for summary in network.others(2, 0)}
    assert [item.host_id for item in known["c000"].representatives] == ["c000-h1", "c000-h2"]


def test_cell_that_is_gone_is_forgotten() -> None:
    """Summaries expire, wherever they have gone round."""
    network = CellNetwork(cells=3, hosts=2, endpoints=2)
    network.run(30.0)
    network.stop(0, 0)
    network.stop(0, 1)
    network.run(CELL_SUMMARY_LIFE_S + 1.0)
    for cell in (1, 2):
        assert {summary.cell_id for summary in network.others(cell, 0)} == {f"c00{3 - cell}"}
