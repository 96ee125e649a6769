"""Registry replicas and a gateway's follower in one event loop, on addresses of their own."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

from ports import reserve_port

from lagoonwing_catalog import CatalogStateMachine
from lagoonwing_catalog.messages import LoadReport, ReplicaAddress
from lagoonwing_consensus import CoreSettings
from lagoonwing_core.clock import LoopClock
from lagoonwing_core.ids import FailureDomainId, HostId
from lagoonwing_fakes.platform import make_document
from lagoonwing_gateway import GatewaySettings, RetryBudgetSettings
from lagoonwing_gateway._crash_tracker import CrashTracker
from lagoonwing_gateway._follower import CatalogFollower
from lagoonwing_platform.documents import decode_document
from lagoonwing_platform.engine_client import EngineClient
from lagoonwing_registry import RegistryService, RegistrySettings
from lagoonwing_replication import LogSettings, RaftLog, ReplicaHost
from lagoonwing_wire import ChannelServer, Identity

KEY = b"key-of-the-tests-0123456789"
WAIT_S = 15.0
DOMAIN = FailureDomainId("d-1")


class RegistryNode:
    """One registry replica; its host is known by its address."""

    def __init__(
        self,
        folder: Path,
        address: str,
        port: int,
        seeds: tuple[str, ...],
        read_seeds: Callable[[], tuple[str, ...]] = tuple,
    ) -> None:
        self.address = address
        self.port = port
        host_id = HostId(address)
        identity = Identity(host_id, KEY)
        self.server = ChannelServer(identity, address, port)
        self.state_machine = CatalogStateMachine()
        settings = LogSettings(
            host_id=host_id,
            folder=folder / address,
            initial_hosts=_hosts(seeds, port),
            read_seeds=lambda: _hosts(read_seeds(), port),
            joining_host=ReplicaHost(host_id, address, port, True),
            may_bootstrap=address in seeds,
            core=CoreSettings(
                heartbeat_s=0.05,
                election_min_s=0.3,
                election_max_s=0.5,
                election_retry_min_s=0.05,
                election_retry_max_s=0.2,
                voter_lost_s=0.8,
                voter_count=3,
            ),
        )
        self.log = RaftLog(settings, self.state_machine, identity, self.server)
        self.registry = RegistryService(
            RegistrySettings(host_id, DOMAIN, address, port, 30.0),
            identity,
            self.state_machine,
            self.log,
            self.server,
            EngineClient(),
            LoopClock(),
        )

    async def async_setup(self) -> None:
        """Start the replica."""
        for component in (self.server, self.registry, self.log):
            await component.async_setup()

    async def async_unload(self) -> None:
        """Stop the replica."""
        for component in (self.log, self.registry, self.server):
            await component.async_unload()


def _hosts(addresses: tuple[str, ...], port: int) -> tuple[ReplicaHost, ...]:
    """Return hosts of the log."""
    return tuple(ReplicaHost(HostId(address), address, port, True) for address in addresses)


class RegistryCluster:
    """Replicas of a registry that can be replaced.

    Attributes:
        nodes: Running replicas, in the order of their start.
    """

    def __init__(self, folder: Path, voters: int = 3) -> None:
        self.nodes: list[RegistryNode] = []
        self._folder = folder
        self._started = voters
        addresses = tuple(f"127.0.8.{number + 1}" for number in range(voters))
        self._port = reserve_port(addresses[0])
        self.nodes = [RegistryNode(folder, address, self._port, addresses) for address in addresses]

    @property
    def replica_addresses(self) -> tuple[ReplicaAddress, ...]:
        """Addresses of the running replicas."""
        return tuple(
            ReplicaAddress(HostId(node.address), node.address, node.port) for node in self.nodes
        )

    async def async_replace(self, number: int) -> RegistryNode:
        """Stop a replica for good; start an empty one at another address, and wait for it."""
        await self.nodes.pop(number).async_unload()
        node = await self.async_add(tuple(node.address for node in self.nodes))
        await async_wait_until(self.is_whole)
        return node

    async def async_add(
        self, seeds: tuple[str, ...], read_seeds: Callable[[], tuple[str, ...]] = tuple
    ) -> RegistryNode:
        """Start an empty replica at another address, with the seeds of its start and later ones."""
        self._started += 1
        address = f"127.0.8.{self._started}"
        node = RegistryNode(self._folder, address, self._port, seeds, read_seeds)
        await node.async_setup()
        self.nodes.append(node)
        return node

    async def async_put_document(self, version: int) -> None:
        """Commit a document."""
        source = make_document(version)
        document = decode_document(source).ok
        result = await self.nodes[0].registry.async_put_document(document, source)
        assert result.is_ok()

    def is_whole(self) -> bool:
        """Return whether all running replicas vote, and no others, in the view of each."""
        addresses = {node.address for node in self.nodes}
        return all(
            {voter.address for voter in node.log.status().voters} == addresses
            and node.log.staleness_s() < 0.5
            for node in self.nodes
        )


async def async_wait_until(condition: Callable[[], bool], timeout_s: float = WAIT_S) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


def make_follower(read_seeds: Callable[[], tuple[ReplicaAddress, ...]]) -> CatalogFollower:
    """Return the follower of a gateway with these seeds."""
    settings = GatewaySettings(DOMAIN, read_seeds, RetryBudgetSettings(0.2, 100.0, 10.0), 2.0)
    clock = LoopClock()
    identity = Identity(HostId("gateway-1"), KEY)
    return CatalogFollower(settings, identity, clock, lambda: LoadReport({}), CrashTracker(clock))


@asynccontextmanager
async def async_run_cluster(folder: Path) -> AsyncIterator[RegistryCluster]:
    """Run three replicas and stop those that run at the end."""
    cluster = RegistryCluster(folder)
    try:
        await asyncio.gather(*(node.async_setup() for node in cluster.nodes))
        await async_wait_until(lambda: all(node.log.staleness_s() < 0.5 for node in cluster.nodes))
        yield cluster
    finally:
        await asyncio.gather(*(node.async_unload() for node in cluster.nodes))
