"""Concurrent conditional changes and resent changes while replicas fail."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Hashable
from typing import Any

from lagoonctl.client import OperatorClient, new_change_id
from lagoonctl.errors import CommandError
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_rpc import operator_pb2 as pb
from proof.history import History, Operation
from proof.linearizability import check_history
from proof.report import Proof, Run
from proof.site import Site, async_site

CLIENTS = 6
KEYS = 3
ROUNDS = 25
PAUSE_S = 0.02
FAULT_AFTER_S = 0.5
FREEZE_S = 4.0
LOST_ANSWER_CODES = (None, ResultCode.NO_QUORUM.value)


async def async_operator(
    site: Site, history: History, name: str, seed: int, replicas: list[int]
) -> None:
    """Read and change random keys, each change conditional on the last known revision."""
    generator = random.Random(f"{seed}/{name}")
    revision_by_key: dict[str, int] = {}
    with site.operators(*replicas, timeout=6.0) as client:
        for number in range(ROUNDS):
            key = f"key-{generator.randrange(KEYS)}"
            if generator.random() < 0.4:
                await _async_get(site, client, history, name, key, revision_by_key)
            else:
                value = f"{name}-{number}"
                await _async_put(site, client, history, name, key, value, revision_by_key)
            await asyncio.sleep(generator.random() * PAUSE_S)


async def _async_get(
    site: Site, client: OperatorClient, history: History, name: str, key: str, known: dict[str, int]
) -> None:
    """Read one key."""
    operation = history.invoke(name, key, ("get",))
    request = pb.GetRequest(kind=pb.ENTITY_KIND_CONFIGURATION, id=key)
    reply = await site.async_call_operator(client, "Get", request)
    if isinstance(reply, CommandError):
        if reply.result_code == ResultCode.UNKNOWN_ENTITY.value:
            history.complete(operation, (0, ""))
            known[key] = 0
        return
    entry = reply.entity.configuration
    known[key] = entry.revision
    history.complete(operation, (entry.revision, entry.value))


async def _async_put(
    site: Site,
    client: OperatorClient,
    history: History,
    name: str,
    key: str,
    value: str,
    known: dict[str, int],
) -> None:
    """Change one key on condition that its revision is the last known one."""
    expected = known.get(key, 0)
    operation = history.invoke(name, key, ("put", expected, value))
    request = site.set_configuration(key, value, expected)
    reply = await site.async_call_operator(client, "SetConfiguration", request)
    if not isinstance(reply, CommandError):
        known[key] = reply.revision
        history.complete(operation, ("accepted", reply.revision))
    elif reply.result_code not in LOST_ANSWER_CODES:
        history.complete(operation, ("refused", reply.result_code))
        known.pop(key, None)


def step(state: Hashable, operation: Operation) -> Hashable | None:
    """Sequential model of one key: its value and the revision of the last write.

    After a change whose answer was lost, the revision is `None` until a later read returns it.
    """
    assert isinstance(state, tuple)
    revision, value = state
    match operation.call, operation.answer:
        case ("get",), None:
            return state
        case ("get",), (seen_revision, seen_value):
            if revision is None:
                return (seen_revision, value) if seen_value == value and seen_revision else None
            return state if (seen_revision, seen_value) == state else None
        case ("put", expected, new), ("accepted", new_revision):
            if revision is not None and expected != revision:
                return None
            return (new_revision, new) if revision is None or new_revision > revision else None
        case ("put", expected, _), ("refused", _):
            return state if revision is None or expected != revision else None
        case ("put", expected, new), None:
            return (None, new) if revision is None or expected == revision else state
        case _:
            return None


async def _async_race(site: Site, fault: Any) -> None:
    """Run concurrent operators during a fault; check linearizability and the accepted changes."""
    history = History()
    replicas = list(range(1, site.deployment.plan.replicas + 1))
    clients = []
    for number in range(CLIENTS):
        order = replicas[number % len(replicas) :] + replicas[: number % len(replicas)]
        clients.append(async_operator(site, history, f"c{number}", site.run.seed, order))
    await asyncio.gather(_async_fault(site, fault), *clients)
    violations = check_history(history, (0, ""), step)
    for violation in violations:
        site.run.violations.append(
            f"{violation.key}: history is not linearizable: {violation.operations}"
        )
    _check_accepted(site.run, history)
    answered = sum(operation.answer is not None for operation in history.operations)
    site.run.figures["operations"] = str(len(history.operations))
    site.run.figures["answered"] = str(answered)


async def _async_fault(site: Site, fault: Any) -> None:
    """Inject the fault while the operators are running."""
    await asyncio.sleep(FAULT_AFTER_S)
    await fault(site)


def _check_accepted(run: Run, history: History) -> None:
    """Check that at most one change was accepted for each expected revision of a key."""
    accepted_counts: dict[tuple[str, int], int] = {}
    revisions: set[int] = set()
    for operation in history.operations:
        if operation.answer is None or operation.answer[0] != "accepted":
            continue
        key = (operation.key, operation.call[1])
        accepted_counts[key] = accepted_counts.get(key, 0) + 1
        run.expect(
            operation.answer[1] not in revisions, f"revision {operation.answer[1]} assigned twice"
        )
        revisions.add(operation.answer[1])
    for key, count in accepted_counts.items():
        run.expect(count == 1, f"{count} changes accepted for key and expected revision {key}")


async def async_race(run: Run) -> None:
    """Run concurrent operators without a fault."""
    async with async_site(run, entries=1) as site:
        await _async_race(site, _async_no_fault)


async def _async_no_fault(site: Site) -> None:
    """Inject no fault."""


async def async_kill_leader(run: Run) -> None:
    """Run concurrent operators while the leader is killed and restarted."""

    async def async_fault(site: Site) -> None:
        leader = await site.async_leader()
        site.deployment.kill(f"control-{leader}")
        await asyncio.sleep(1.5)
        site.deployment.restart_exited()

    async with async_site(run, entries=1) as site:
        await _async_race(site, async_fault)


async def async_freeze_leader(run: Run) -> None:
    """Run concurrent operators while the leader is paused for longer than its lease."""

    async def async_fault(site: Site) -> None:
        leader = await site.async_leader()
        site.deployment.suspend(f"control-{leader}")
        await asyncio.sleep(FREEZE_S)
        site.deployment.resume(f"control-{leader}")

    async with async_site(run, entries=1) as site:
        await _async_race(site, async_fault)


async def async_resend(run: Run) -> None:
    """Resend one change to every replica, also after a leader loss and a full restart."""
    async with async_site(run, entries=1) as site:
        change_id = new_change_id()
        request = site.set_configuration("limit", "1", 0, change_id)
        with site.operators(1) as client:
            first = await site.async_call_operator(client, "SetConfiguration", request)
        answers = [first]
        leader = await site.async_leader()
        site.deployment.kill(f"control-{leader}")
        answers += await _async_send_to_all(site, request, skip=leader)
        for number in range(1, site.deployment.plan.replicas + 1):
            if number != leader:
                site.deployment.kill(f"control-{number}")
        site.deployment.restart_exited()
        answers += await _async_send_to_all(site, request, skip=0)
        revisions = {getattr(answer, "revision", repr(answer)) for answer in answers}
        run.expect(len(revisions) == 1, f"resends of one change got different answers: {revisions}")
        other = site.set_configuration("limit", "2", 0, change_id)
        with site.operators() as client:
            reused = await site.async_call_operator(client, "SetConfiguration", other)
        code = getattr(reused, "result_code", None)
        run.expect(
            code == ResultCode.CHANGE_ID_REUSED.value,
            f"reused change id was not refused: {reused!r}",
        )
        run.figures["answers"] = str(len(answers))


async def _async_send_to_all(site: Site, request: Any, skip: int) -> list[Any]:
    """Send a request to each replica except the one to skip."""
    answers = []
    for number in range(1, site.deployment.plan.replicas + 1):
        if number != skip:
            with site.operators(number) as client:
                answers.append(await site.async_call_operator(client, "SetConfiguration", request))
    return answers


PROOFS = (
    Proof(
        "race",
        "one of several changes with the same expected revision succeeds; reads are current",
        async_race,
    ),
    Proof(
        "race-kill-leader", "the same while the leader is killed and restarted", async_kill_leader
    ),
    Proof(
        "race-freeze-leader",
        "the same while the leader is paused, then resumed",
        async_freeze_leader,
    ),
    Proof(
        "resend", "a resent change returns its original result, also after restarts", async_resend
    ),
)
