"""Gateways keep up with the configuration while the replicas that they know are replaced."""

from __future__ import annotations

from pathlib import Path

from registry_cluster import RegistryCluster, async_run_cluster, async_wait_until, make_follower

from lagoonwing_gateway._follower import CatalogFollower

# Time within which gateways have to apply what was committed.
CONFIG_APPLY_S = 2.0


async def _async_expect_version(
    cluster: RegistryCluster, follower: CatalogFollower, version: int
) -> None:
    """Commit a document and expect that the follower applies it in time."""
    await cluster.async_put_document(version)
    await async_wait_until(
        lambda: follower.routes is not None and follower.routes.version == version,
        CONFIG_APPLY_S,
    )


async def _async_replace_all(cluster: RegistryCluster, follower: CatalogFollower) -> None:
    """Replace all replicas one by one, the one that is followed last."""
    assert follower.source is not None
    followed = follower.source.peer_id
    others = [node for node in cluster.nodes if node.address != followed]
    for node in others:
        await cluster.async_replace(cluster.nodes.index(node))
    assert follower.source is not None
    assert follower.source.peer_id == followed
    await cluster.async_replace(0)


# Guards against a gateway that serves by an old configuration for good, once the replicas that it
# knew when it subscribed have been replaced.
async def test_gateway_follows_after_its_first_replicas_were_replaced(tmp_path: Path) -> None:
    """Replicas that joined later are followed once the first ones are gone, time and again."""
    async with async_run_cluster(tmp_path) as cluster:
        seeds = cluster.replica_addresses
        follower = make_follower(lambda: seeds)
        await follower.async_setup()
        try:
            await _async_expect_version(cluster, follower, 1)
            for version in (2, 3):
                await _async_replace_all(cluster, follower)
                await async_wait_until(follower.is_connected)
                await _async_expect_version(cluster, follower, version)
        finally:
            await follower.async_unload()


# Guards against a gateway that was cut off while all replicas that it knew were replaced: it finds
# those that its settings name now.
async def test_gateway_that_was_cut_off_finds_the_new_seeds(tmp_path: Path) -> None:
    """With no known replica left, the seeds of the settings are tried."""
    async with async_run_cluster(tmp_path) as cluster:
        seeds = cluster.replica_addresses
        follower = make_follower(lambda: seeds)
        await follower.async_setup()
        await _async_expect_version(cluster, follower, 1)
        await follower.async_unload()
        for _ in range(3):
            await cluster.async_replace(0)
        await cluster.async_put_document(2)
        await follower.async_setup()
        try:
            seeds = cluster.replica_addresses
            await async_wait_until(
                lambda: follower.routes is not None and follower.routes.version == 2
            )
        finally:
            await follower.async_unload()


# Guards against a replica that waits to join with seeds that are all gone, though its settings name
# others meanwhile.
async def test_joining_replica_finds_the_new_seeds(tmp_path: Path) -> None:
    """It joins once the settings name a replica of the log."""
    async with async_run_cluster(tmp_path) as cluster:
        await cluster.nodes.pop().async_unload()
        seeds: tuple[str, ...] = ()
        await cluster.async_add(("127.0.8.250",), lambda: seeds)
        seeds = (cluster.nodes[0].address,)
        await async_wait_until(cluster.is_whole)
