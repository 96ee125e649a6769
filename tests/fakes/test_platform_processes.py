"""Deployments of real processes on loopback networks of their own."""

from __future__ import annotations

from pathlib import Path

from lagoonwing_fakes.platform import make_processes

NETWORK = 201


def test_network_stays_claimed_while_a_process_runs(tmp_path: Path) -> None:
    """The processes of a test run that was killed keep their addresses to themselves."""
    folders = [tmp_path / name for name in ("first", "second", "third")]
    for folder in folders:
        folder.mkdir()
    gateway = make_processes(folders[0], NETWORK, 0, 1).gateways[0]
    other = make_processes(folders[1], NETWORK, 0, 1).gateways[0]
    assert other.address != gateway.address
    gateway.start()
    gateway.network_claim.close()
    third = make_processes(folders[2], NETWORK, 0, 1).gateways[0]
    gateway.stop()
    assert third.address not in (gateway.address, other.address)
    for process in (other, third):
        process.network_claim.close()
