"""Endpoints die, leave, crash on a request and are stopped as planned."""

from __future__ import annotations

import asyncio
from collections import Counter

from lagoonctl.client import new_change_id
from lagoonctl.errors import CommandError
from lagoonwing_fakes.models import FaultPlan
from lagoonwing_fakes.tokens import expected_text
from lagoonwing_rpc import operator_pb2 as pb
from proof.report import Proof, Run
from proof.site import LAYERS, Site, async_site, chat_text

NO_NEW_WORK_S = 3.0
LONG_PROMPT = "a long rationale note [tokens=200]"
CRASH_MARKER = "poison"


async def async_stage_death(run: Run) -> None:
    """Kill a stage in mid-answer; each layer still runs once for each token, in order."""
    async with async_site(run, entries=2) as site:
        await site.async_create_member()
        site.add_stages(2, tokens_per_s=400.0)
        await site.async_wait_endpoints(6)
        prompts = [f"{LONG_PROMPT} {number}" for number in range(6)]
        chats = [
            asyncio.create_task(site.async_chat(1 + number % 2, prompt, stream=True))
            for number, prompt in enumerate(prompts)
        ]
        await asyncio.sleep(1.0)
        victim = f"stage-{run.seed % 2}-{run.seed % 3}"
        site.deployment.kill(victim)
        answers = await asyncio.gather(*chats)
        for prompt, answer in zip(prompts, answers, strict=True):
            text = chat_text(answer)
            expected = expected_text(f"user: {prompt}")
            run.expect(text in ("", expected), f"a token was lost or doubled: {text!r}")
            run.expect(text == expected, f"not whole: {answer.status} {answer.body[-120:]!r}")
        _check_layers(run, site)
        run.figures["killed"] = victim


def _check_layers(run: Run, site: Site) -> None:
    """Check that no layer ran twice for a token within one attempt, and that none is missing."""
    ran: Counter[tuple[str, int, int, int, int]] = Counter()
    for line in site.deployment.all_execution_log_entries():
        if line["event"] == "token" and not line.get("replay", False):
            key = (line["request_id"], line["attempt"], line["token"], line["first"], line["end"])
            ran[key] += 1
    doubled = [key for key, count in ran.items() if count > 1]
    run.expect(not doubled, f"layers ran twice: {doubled[:3]}")
    layers: dict[tuple[str, int], set[int]] = {}
    for request_id, _, token, first, end in ran:
        layers.setdefault((request_id, token), set()).update(range(first, end))
    missing = [key for key, held in layers.items() if len(held) != LAYERS]
    # The token on which the stage died may have run in part; it is run again in a new attempt.
    run.expect(not missing, f"tokens without all layers: {missing[:3]}")
    run.figures["tokens"] = str(len(layers))


async def async_leaving(run: Run) -> None:
    """An endpoint that leaves gets no new work anywhere after 3 s, and ends what it runs."""
    async with async_site(run) as site:
        await site.async_create_member()
        site.add_whole(0, tokens_per_s=200.0)
        site.add_whole(1)
        await site.async_wait_endpoints(2)
        stop = asyncio.Event()
        load = [asyncio.create_task(_async_keep_asking(site, n, stop)) for n in range(8)]
        await asyncio.sleep(1.0)
        leave = asyncio.create_task(
            asyncio.to_thread(site.deployment.process_by_name["whole-0"].stop, 40.0)
        )
        await asyncio.sleep(NO_NEW_WORK_S)
        started = site.starts("whole-0")
        await asyncio.sleep(2.0)
        run.expect(site.starts("whole-0") == started, "new work after 3 s")
        stop.set()
        await asyncio.gather(*load, leave)
        run.figures["started_before"] = str(started)


async def _async_keep_asking(site: Site, worker: int, stop: asyncio.Event) -> None:
    """Ask for answers until told to stop; every answer must be whole and its own."""
    number = 0
    while not stop.is_set():
        prompt = f"worker {worker} asks {number} [tokens=12]"
        answer = await site.async_chat(1 + (worker + number) % 4, prompt)
        text = chat_text(answer)
        expected = expected_text(f"user: {prompt}")
        site.run.expect(
            text == expected, f"{answer.status} {answer.outcome} {answer.code}: {text!r}"
        )
        number += 1


async def async_crashing(run: Run) -> None:
    """A request that crashes endpoints kills at most two, over all entry hosts and resends."""
    async with async_site(run) as site:
        await site.async_create_member()
        for number in range(6):
            site.add_whole(number, FaultPlan(crash_marker=CRASH_MARKER), tokens_per_s=400.0)
        await site.async_wait_endpoints(6)
        stop = asyncio.Event()
        innocent = [asyncio.create_task(_async_innocent(site, n, stop)) for n in range(6)]
        for resend in range(8):
            answer = await site.async_chat(1 + resend % 4, f"{CRASH_MARKER} [tokens=8]")
            run.expect(answer.outcome != "done", "a request that crashes was told done")
        stop.set()
        served = sum(await asyncio.gather(*innocent))
        dead = [
            name
            for name, process in site.deployment.process_by_name.items()
            if name.startswith("whole") and not process.running
        ]
        run.expect(len(dead) <= 2, f"{len(dead)} endpoints died: {dead}")
        run.figures["died"] = str(len(dead))
        run.figures["innocent served"] = str(served)


async def _async_innocent(site: Site, worker: int, stop: asyncio.Event) -> int:
    """Ask for answers beside the crashing request; returns how many came."""
    served = 0
    while not stop.is_set():
        prompt = f"innocent {worker} {served} [tokens=16]"
        answer = await site.async_chat(1 + worker % 4, prompt)
        expected = expected_text(f"user: {prompt}")
        site.run.expect(chat_text(answer) == expected, f"innocent got {answer.code}")
        served += 1
    return served


async def async_planned_stop(run: Run) -> None:
    """A planned stop of a failure domain cuts nothing and ends in safe."""
    async with async_site(run) as site:
        await site.async_create_member()
        for number in range(6):
            site.add_whole(number, tokens_per_s=300.0)
        await site.async_wait_endpoints(6)
        long = [
            asyncio.create_task(site.async_chat(1 + n % 4, f"{LONG_PROMPT} {n}")) for n in range(12)
        ]
        await asyncio.sleep(0.5)
        stop = pb.PlannedStop(stop_id="stop-1", target="failure_domain", target_id="domain-1")
        header = pb.ChangeHeader(change_id=new_change_id(), expected_revision=0)
        with site.operators() as client:
            request = pb.StopChange(header=header, stop=stop)
            reply = await site.async_change(client, "OrderStop", request)
            run.expect(not isinstance(reply, CommandError), f"the stop was refused: {reply!r}")
            await asyncio.sleep(NO_NEW_WORK_S)
            stopped = [f"whole-{number}" for number in range(6) if number % 3 == 1]
            before = [site.starts(name) for name in stopped]
            done = asyncio.Event()
            load = [asyncio.create_task(_async_keep_asking(site, n, done)) for n in range(4)]
            answers = await asyncio.gather(*long)
            for number, answer in enumerate(answers):
                expected = expected_text(f"user: {LONG_PROMPT} {number}")
                run.expect(chat_text(answer) == expected, f"cut: {answer.status} {answer.code}")
            await _async_wait_safe(site, client)
            done.set()
            await asyncio.gather(*load)
        run.expect([site.starts(name) for name in stopped] == before, "new work after 3 s")


async def _async_wait_safe(site: Site, client) -> None:  # type: ignore[no-untyped-def]
    """Wait until the stop is safe."""
    for _ in range(200):
        request = pb.GetRequest(kind=pb.ENTITY_KIND_STOP, id="stop-1")
        reply = await site.async_change(client, "Get", request)
        if not isinstance(reply, CommandError) and reply.entity.stop.state == "safe":
            return
        await asyncio.sleep(0.1)
    site.run.violations.append("the stop did not become safe within 20 s")


PROOFS = (
    Proof(
        "stage-death", "each layer runs once for each token though a stage dies", async_stage_death
    ),
    Proof("leaving", "an endpoint that leaves gets no new work after 3 s", async_leaving),
    Proof("crashing", "at most two endpoints die of one request", async_crashing),
    Proof("planned-stop", "a planned stop cuts no request in progress", async_planned_stop),
)
