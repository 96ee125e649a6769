"""Loss, restart, wiped disks and torn writes of replicas; no accepted change is lost."""

from __future__ import annotations

import asyncio
import random
import shutil
import time
from pathlib import Path
from typing import Any

from lagoonctl.errors import CommandError
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_fakes.deployment import host_id
from lagoonwing_rpc import operator_pb2 as pb
from proof.report import Proof, Run
from proof.site import Site, async_site

MANY_CHANGES = 500
CHANGE_PROPAGATION_S = 4.0
FAILOVER_S = 2.0
LEASE_EXPIRY_TIMEOUT_S = 6.0
REPAIR_TIMEOUT_S = 20.0
TORN_BYTES = 7


async def _async_set(site: Site, key: str, value: str, expected: int = 0) -> Any:
    """Set one key."""
    with site.operators() as client:
        request = site.set_configuration(key, value, expected)
        return await site.async_call_operator(client, "SetConfiguration", request)


async def _async_set_many(site: Site, count: int) -> int:
    """Change one key many times; return the last revision."""
    revision = 0
    with site.operators() as client:
        for number in range(count):
            request = site.set_configuration("counter", str(number), revision)
            reply = await site.async_call_operator(client, "SetConfiguration", request)
            if isinstance(reply, CommandError):
                raise reply
            revision = reply.revision
    return revision


async def _async_read(site: Site, key: str) -> Any:
    """Read one key."""
    with site.operators() as client:
        request = pb.GetRequest(kind=pb.ENTITY_KIND_CONFIGURATION, id=key)
        return await site.async_call_operator(client, "Get", request)


def _lowest_revision(site: Site) -> float:
    """Return the lowest revision applied by any entry host."""
    numbers = range(1, site.deployment.plan.entries + 1)
    return min(site.deployment.gauge(number, "revision") for number in numbers)


async def async_restart_each(run: Run) -> None:
    """After 500 changes, restart each process in turn, then all of them at once."""
    async with async_site(run) as site:
        revision = await _async_set_many(site, MANY_CHANGES)
        await site.deployment.async_wait(
            lambda: _lowest_revision(site) >= revision,
            "the last change to be applied on every entry host",
        )
        for name in list(site.deployment.process_by_name):
            site.deployment.kill(name)
            site.deployment.restart_exited()
            role, number = name.split("-")
            if role == "entry":
                await site.deployment.async_wait_ready([int(number)])
                served = site.deployment.gauge(int(number), "revision")
                run.expect(
                    served >= revision,
                    f"{name} serves revision {served}, expected at least {revision}",
                )
        for name in list(site.deployment.process_by_name):
            site.deployment.kill(name)
        site.deployment.restart_exited()
        await site.deployment.async_wait_ready()
        run.expect(
            _lowest_revision(site) >= revision,
            "an entry host serves an older revision after a full restart",
        )
        reply = await _async_read(site, "counter")
        value = getattr(getattr(reply, "entity", None), "configuration", None)
        expected = str(MANY_CHANGES - 1)
        run.expect(
            value is not None and value.value == expected,
            f"unexpected value of key counter: {reply!r}",
        )


async def async_failover(run: Run) -> None:
    """Kill the leader and measure the time until the next accepted change."""
    async with async_site(run, entries=1) as site:
        await _async_set(site, "before", "1")
        leader = await site.async_leader()
        site.deployment.kill(f"control-{leader}")
        killed = time.monotonic()
        reply = await _async_set(site, "after", "1")
        seconds = time.monotonic() - killed
        run.expect(
            not isinstance(reply, CommandError), f"no change accepted after the failover: {reply!r}"
        )
        run.figures["failover_s"] = f"{seconds:.2f}"
        kept = await _async_read(site, "before")
        run.expect(not isinstance(kept, CommandError), "an accepted change was lost")


async def async_second_loss(run: Run) -> None:
    """Kill a host, wait until its voter is replaced, then kill a second host."""
    async with async_site(run) as site:
        await _async_set(site, "first", "1")
        leader = await site.async_leader()
        site.deployment.kill(f"control-{leader}")
        site.deployment.kill(f"entry-{leader}")
        started = time.monotonic()
        await _async_wait_margin(site, skip={leader}, margin=1, lost=leader)
        run.figures["repair_s"] = f"{time.monotonic() - started:.1f}"
        other_leader = await _async_other_leader(site, leader)
        site.deployment.kill(f"control-{other_leader}")
        site.deployment.kill(f"entry-{other_leader}")
        reply = await _async_set(site, "second", "1")
        run.expect(not isinstance(reply, CommandError), f"no change after two losses: {reply!r}")
        kept = await _async_read(site, "first")
        run.expect(not isinstance(kept, CommandError), "an accepted change was lost")


async def _async_other_leader(site: Site, skip: int) -> int:
    """Wait for a leader other than the skipped host and return its number."""
    while True:
        for number in range(1, site.deployment.plan.replicas + 1):
            status = None if number == skip else await site.async_status(number)
            if status is not None and status.role == "leader":
                return number
        await asyncio.sleep(0.1)


async def _async_wait_margin(site: Site, skip: set[int], margin: int, lost: int = 0) -> None:
    """Wait until the voters tolerate `margin` more losses and the lost host is no voter."""
    end = time.monotonic() + REPAIR_TIMEOUT_S
    while time.monotonic() < end:
        for number in range(1, site.deployment.plan.replicas + 1):
            status = None if number in skip else await site.async_status(number)
            if status is None or status.role != "leader":
                continue
            voters = {replica.host_id for replica in status.replicas if replica.voter}
            if status.margin >= margin and host_id(lost) not in voters:
                return
        await asyncio.sleep(0.1)
    site.run.violations.append(
        f"voters do not tolerate {margin} losses again within {REPAIR_TIMEOUT_S} s"
    )


async def async_wiped(run: Run) -> None:
    """Delete a replica's data; it rejoins with a new replica id and no change is lost."""
    async with async_site(run, entries=1) as site:
        await _async_set_many(site, 20)
        victim = random.Random(run.seed).randrange(1, 4)
        site.deployment.kill(f"control-{victim}")
        shutil.rmtree(run.folder / f"control-{victim}")
        site.deployment.restart_exited()
        reply = await _async_set(site, "after-wipe", "1")
        run.expect(
            not isinstance(reply, CommandError), f"no change accepted after the wipe: {reply!r}"
        )
        counter = await _async_read(site, "counter")
        run.expect(not isinstance(counter, CommandError), "an accepted change was lost")
        await _async_wait_margin(site, skip=set(), margin=1)
        await _async_wait_applied(site, victim, reply.revision)


async def _async_wait_applied(site: Site, number: int, revision: int) -> None:
    """Wait until one replica has applied a revision."""
    end = time.monotonic() + REPAIR_TIMEOUT_S
    while time.monotonic() < end:
        status = await site.async_status(number)
        if status is not None and status.revision >= revision:
            return
        await asyncio.sleep(0.1)
    site.run.violations.append(f"control-{number} has not applied revision {revision}")


async def async_torn_write(run: Run) -> None:
    """Append a partial record to the log of each replica in turn; no change is lost."""
    async with async_site(run, entries=1) as site:
        revision = await _async_set_many(site, 30)
        for number in range(1, 4):
            site.deployment.kill(f"control-{number}")
            _append_partial_record(run.folder / f"control-{number}")
            site.deployment.restart_exited()
            await _async_wait_applied(site, number, revision)
        counter = await _async_read(site, "counter")
        value = getattr(getattr(counter, "entity", None), "configuration", None)
        run.expect(
            value is not None and value.value == "29",
            f"unexpected value of key counter: {counter!r}",
        )


def _append_partial_record(folder: Path) -> None:
    """Append an incomplete record to the newest segment, as after a torn write."""
    segments = sorted(folder.glob("log/**/*"), key=lambda path: path.stat().st_mtime)
    files = [path for path in segments if path.is_file() and "seg" in path.name]
    with (files or [path for path in segments if path.is_file()])[-1].open("ab") as file:
        file.write(b"\x40\x00\x00\x00\x99\x01\x02"[:TORN_BYTES])


async def async_cut_off(run: Run) -> None:
    """Pause two of three voters: entry hosts may be partitioned off and must refuse new work."""
    async with async_site(run, entries=2, replicas=3) as site:
        await site.async_create_member()
        site.add_whole_model(1)
        await site.async_wait_endpoints(1)
        before = await site.async_chat(1, "before")
        run.expect(before.outcome == "done", f"request before the pause: {before}")
        for number in (1, 2):
            site.deployment.suspend(f"control-{number}")
        started = time.monotonic()
        refused = await _async_wait_refused(site, 1)
        run.figures["lapsed_s"] = f"{time.monotonic() - started:.1f}"
        run.expect(
            refused, f"entry host still accepts work {LEASE_EXPIRY_TIMEOUT_S} s after the pause"
        )
        for number in (1, 2):
            site.deployment.resume(f"control-{number}")
        await site.deployment.async_wait_ready()
        after = await site.async_chat(1, "after")
        run.expect(after.outcome == "done", f"request after the resume: {after}")


async def _async_wait_refused(site: Site, entry: int) -> bool:
    """Return whether an entry host refuses work in time with outcome `not_run`."""
    end = time.monotonic() + LEASE_EXPIRY_TIMEOUT_S
    while time.monotonic() < end:
        answer = await site.async_chat(entry, "cut")
        if answer.code == ResultCode.CONFIGURATION_LEASE_LAPSED.value:
            return answer.outcome == "not_run"
        await asyncio.sleep(0.1)
    return False


async def async_two_killed(run: Run) -> None:
    """Kill two hosts: their exit is confirmed, so the other hosts keep serving."""
    async with async_site(run) as site:
        await site.async_create_member()
        site.add_whole_model(1)
        await site.async_wait_endpoints(1)
        # A new agreement takes effect within 4 s; its allotments are granted by then.
        await asyncio.sleep(CHANGE_PROPAGATION_S)
        for number in (1, 2):
            site.deployment.kill(f"control-{number}")
            site.deployment.kill(f"entry-{number}")
        started = time.monotonic()
        outcomes: dict[str, int] = {}
        while time.monotonic() - started < LEASE_EXPIRY_TIMEOUT_S + 2.0:
            answer = await site.async_chat(3, "survivor")
            outcomes[answer.outcome] = outcomes.get(answer.outcome, 0) + 1
            await asyncio.sleep(0.05)
        run.figures["outcomes"] = str(outcomes)
        run.expect(set(outcomes) == {"done"}, f"requests failed on the remaining hosts: {outcomes}")
        site.deployment.restart_exited()
        await site.deployment.async_wait_ready()
        reply = await _async_set(site, "after", "1")
        run.expect(
            not isinstance(reply, CommandError), f"no change accepted after the restart: {reply!r}"
        )


PROOFS = (
    Proof(
        "restart-each",
        "after 500 changes, restarted processes have the current state",
        async_restart_each,
    ),
    Proof(
        "failover", "a leader failure loses no change and a new leader takes over", async_failover
    ),
    Proof(
        "second-loss",
        "a second host loss after the repair does not interrupt service",
        async_second_loss,
    ),
    Proof("wiped", "a wiped replica rejoins under a new id, no change is lost", async_wiped),
    Proof("torn", "a torn last record is truncated, no accepted change is lost", async_torn_write),
    Proof("cut-off", "a host that may be partitioned off refuses new work", async_cut_off),
    Proof(
        "two-killed", "the remaining hosts keep serving when two are lost at once", async_two_killed
    ),
)
