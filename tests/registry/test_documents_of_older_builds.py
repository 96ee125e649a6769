"""Documents that an older build has accepted and this one calls invalid."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import msgspec
from expression import Result
from registry_cluster import (
    WAIT_S,
    RegistryCluster,
    RegistryNode,
    async_run_cluster,
    async_wait_until,
    make_follower,
)

from lagoonwing_catalog import CatalogStateMachine, make_stored_document
from lagoonwing_catalog.messages import ApplyResult, PutDocument
from lagoonwing_core.errors import Refusal
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_fakes.platform import make_document
from lagoonwing_platform.documents import decode_document
from lagoonwing_registry._committed_documents import CommittedDocuments
from lagoonwing_registry.const import MAX_COMMITTED_DOCUMENTS


def _make_clash(version: int, **changes: object) -> bytes:
    """Return a document with two routes of one host, in other letters, and one prefix."""
    document = json.loads(make_document(version))
    route = document["routes"][0]
    document["routes"].append({**route, "host": route["host"].upper(), **changes})
    return json.dumps(document).encode()


async def _async_put(node: RegistryNode, source: bytes) -> Result[ApplyResult, Refusal]:
    """Send a document to a replica as the operator."""
    return await node.registry.async_put_document(decode_document(source).ok, source)


async def _async_put_as_older_build(cluster: RegistryCluster, source: bytes) -> None:
    """Commit a document without a check, as a replica of an older build does."""
    command = PutDocument(make_stored_document(decode_document(source).ok, source))
    assert (await cluster.nodes[0].registry._proposer.async_submit(command)).is_ok()


async def _async_put_until_clear(node: RegistryNode, source: bytes) -> Result[ApplyResult, Refusal]:
    """Send a document as the operator does: again while there is no clear answer."""
    async with asyncio.timeout(WAIT_S):
        while True:
            result = await _async_put(node, source)
            if _code(result) in (None, ResultCode.INVALID_CHANGE):
                return result
            await asyncio.sleep(0.05)


async def _async_read(node: RegistryNode) -> bytes | None:
    """Read the document in force as the operator does."""
    async with asyncio.timeout(WAIT_S):
        while (result := await node.registry.async_read_document()).is_error():  # noqa: ASYNC110
            await asyncio.sleep(0.05)
    return result.ok


def _code(result: Result[ApplyResult, Refusal]) -> ResultCode | None:
    """Return the code of a refusal; `None` if the document was acknowledged."""
    return result.error.code if result.is_error() else None


# Guards against an operator whose change was accepted by an older build, whose answer was lost, and
# whose call ends with 400 at a newer build.
async def test_accepted_document_is_acknowledged_again_at_every_replica(tmp_path: Path) -> None:
    """That holds while it is in force and after it was overtaken; nothing changes by it."""
    async with async_run_cluster(tmp_path) as cluster:
        first, second = _make_clash(1), _make_clash(2)
        for source in (first, second):
            await _async_put_as_older_build(cluster, source)
        for node in cluster.nodes:
            for source in (second, first):
                result = await _async_put_until_clear(node, source)
                assert result.is_ok()
                assert not result.ok.changed
        await cluster.async_put_document(3)
        for node in cluster.nodes:
            assert (await _async_put_until_clear(node, second)).is_ok()
            assert await _async_read(node) == make_document(3)


async def test_other_content_under_an_accepted_version_is_invalid(tmp_path: Path) -> None:
    """Only what was committed is acknowledged, byte for byte."""
    async with async_run_cluster(tmp_path) as cluster:
        await _async_put_as_older_build(cluster, _make_clash(2))
        for node in cluster.nodes:
            for source in (_make_clash(2, priority=7), _make_clash(1), _make_clash(3)):
                result = await _async_put_until_clear(node, source)
                assert _code(result) is ResultCode.INVALID_CHANGE
            assert await _async_read(node) == _make_clash(2)


async def test_replica_that_cannot_know_gives_no_clear_answer(tmp_path: Path) -> None:
    """Without a majority, an accepted document may be missing here; no call ends for good."""
    async with async_run_cluster(tmp_path) as cluster:
        lonely = cluster.nodes.pop()
        await asyncio.gather(*(node.async_unload() for node in cluster.nodes))
        cluster.nodes = [lonely]
        await async_wait_until(lambda: lonely.log.staleness_s() > 1.0)
        unclear = (ResultCode.NO_QUORUM, ResultCode.PEER_UNREACHABLE)
        assert _code(await _async_put(lonely, _make_clash(1))) in unclear
        plainly_invalid = _make_clash(1, host=json.loads(make_document())["routes"][0]["host"])
        assert _code(await _async_put(lonely, plainly_invalid)) is ResultCode.INVALID_CHANGE


async def test_replica_that_joins_later_knows_the_accepted_document(tmp_path: Path) -> None:
    """It learns it from the log or from a snapshot, and its gateways serve it."""
    async with async_run_cluster(tmp_path) as cluster:
        await _async_put_as_older_build(cluster, _make_clash(1))
        node = await cluster.async_replace(0)
        assert (await _async_put_until_clear(node, _make_clash(1))).is_ok()
        follower = make_follower(lambda: cluster.replica_addresses)
        await follower.async_setup()
        try:
            await async_wait_until(lambda: follower.routes is not None)
            assert follower.routes is not None
            assert len(follower.routes.shadowed_routes) == 1
        finally:
            await follower.async_unload()


def test_snapshot_shows_the_document_in_force() -> None:
    """After a restore, the document of the snapshot counts as committed."""
    source = _make_clash(4)
    machine = CatalogStateMachine()
    machine.state.put_document(make_stored_document(decode_document(source).ok, source))
    documents = CommittedDocuments()
    restored = CatalogStateMachine()
    restored.on_document = documents.record
    restored.restore(machine.snapshot())
    assert documents.holds(decode_document(source).ok.version, source)


def test_memory_of_documents_is_bounded() -> None:
    """The oldest are forgotten; one that can't be read is left out."""
    documents = CommittedDocuments()
    document = decode_document(make_document()).ok
    stored = make_stored_document(document, b"0")
    documents.record(stored)
    documents.record(msgspec.structs.replace(stored, compressed_source=b"no zlib"))
    assert documents.holds(document.version, b"0")
    for number in range(1, MAX_COMMITTED_DOCUMENTS + 1):
        documents.record(make_stored_document(document, str(number).encode()))
    assert not documents.holds(document.version, b"0")
    assert documents.holds(document.version, b"1")
