"""Membership: spread, expiry, leave, return, conflicts, pauses and host states."""

from __future__ import annotations

from membership_network import Network, record_of


def _joined(size: int = 4, **options) -> Network:
    network = Network(size, **options)
    network.run(2.0)
    return network


def _renew(network: Network, name: str, hosts: list[int], seconds: float, start: int = 2) -> int:
    """Announce every 0.8 s to one of the hosts in turn; return the next sequence."""
    sequence = start
    end = network.now + seconds
    while network.now < end - 1e-9:
        network.host(hosts[sequence % len(hosts)]).announce(
            record_of(name, sequence=sequence), network.now
        )
        sequence += 1
        network.run(0.8)
    return sequence


def test_announcement_reaches_every_host() -> None:
    """What one host hears, every host knows within a few ticks."""
    network = _joined()
    assert network.host(0).announce(record_of("a"), network.now).is_ok()
    network.run(0.3)
    assert all(network.names(number) == {"a"} for number in range(4))
