"""Endpoint failures: killed stages, draining, crashing requests and planned stops."""

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

DRAIN_PROPAGATION_S = 3.0
LONG_PROMPT = "a long rationale note [tokens=200]"
CRASH_MARKER = "poison"


async def async_stage_death(run: Run) -> None:
    """Kill a stage during responses; each layer must run exactly once per token."""
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
            run.expect(text in ("", expected), f"token lost or duplicated: {text!r}")
            run.expect(
                text == expected,
                f"incomplete answer: status {answer.status}, ends in {answer.body[-120:]!r}",
            )
        _check_layers(run, site)
        run.figures["killed"] = victim


def _check_layers(run: Run, site: Site) -> None:
    """Check that each layer ran for each token, and at most once per attempt."""
    ran: Counter[tuple[str, int, int, int, int]] = Counter()
    for line in site.deployment.all_execution_log_entries():
        if line["event"] == "token" and not line.get("replay", False):
            key = (line["request_id"], line["attempt"], line["token"], line["first"], line["end"])
            ran[key] += 1
    duplicated = [key for key, count in ran.items() if count > 1]
    run.expect(not duplicated, f"layers ran twice: {duplicated[:3]}")
    layers: dict[tuple[str, int], set[int]] = {}
    for request_id, _, token, first, end in ran:
        layers.setdefault((request_id, token), set()).update(range(first, end))
    missing = [key for key, held in layers.items() if len(held) != LAYERS]
    # A new attempt reruns the token that was in progress when the stage was killed.
    run.expect(not missing, f"tokens with missing layers: {missing[:3]}")
    run.figures["tokens"] = str(len(layers))


async def async_leaving(run: Run) -> None:
    """A leaving endpoint gets no new work after 3 s and completes its running requests."""
    async with async_site(run) as site:
        await site.async_create_member()
        site.add_whole_model(0, tokens_per_s=200.0)
        site.add_whole_model(1)
        await site.async_wait_endpoints(2)
        stop = asyncio.Event()
        load = [asyncio.create_task(_async_send_requests(site, n, stop)) for n in range(8)]
        await asyncio.sleep(1.0)
        leave = asyncio.create_task(
            asyncio.to_thread(site.deployment.process_by_name["whole-0"].stop, 40.0)
        )
        await asyncio.sleep(DRAIN_PROPAGATION_S)
        started = site.count_starts("whole-0")
        await asyncio.sleep(2.0)
        run.expect(
            site.count_starts("whole-0") == started, "leaving endpoint got new work after 3 s"
        )
        stop.set()
        await asyncio.gather(*load, leave)
        run.figures["started_before"] = str(started)


async def _async_send_requests(site: Site, worker: int, stop: asyncio.Event) -> None:
    """Send requests until stopped; every answer must be complete and match its prompt."""
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
    """A request that crashes endpoints crashes at most two, even if resent to other hosts."""
    async with async_site(run) as site:
        await site.async_create_member()
        for number in range(6):
            site.add_whole_model(number, FaultPlan(crash_marker=CRASH_MARKER), tokens_per_s=400.0)
        await site.async_wait_endpoints(6)
        stop = asyncio.Event()
        normal = [asyncio.create_task(_async_send_normal_requests(site, n, stop)) for n in range(6)]
        for resend in range(8):
            answer = await site.async_chat(1 + resend % 4, f"{CRASH_MARKER} [tokens=8]")
            run.expect(
                answer.outcome != "done", "a request that crashes endpoints was reported as done"
            )
        stop.set()
        served = sum(await asyncio.gather(*normal))
        dead = [
            name
            for name, process in site.deployment.process_by_name.items()
            if name.startswith("whole") and not process.running
        ]
        run.expect(len(dead) <= 2, f"{len(dead)} endpoints crashed: {dead}")
        run.figures["died"] = str(len(dead))
        run.figures["other requests served"] = str(served)


async def _async_send_normal_requests(site: Site, worker: int, stop: asyncio.Event) -> int:
    """Send normal requests beside the crashing one; return the number served."""
    served = 0
    while not stop.is_set():
        prompt = f"innocent {worker} {served} [tokens=16]"
        answer = await site.async_chat(1 + worker % 4, prompt)
        expected = expected_text(f"user: {prompt}")
        site.run.expect(
            chat_text(answer) == expected, f"normal request failed with result code {answer.code}"
        )
        served += 1
    return served


async def async_planned_stop(run: Run) -> None:
    """A planned stop of a failure domain interrupts no request and becomes safe."""
    async with async_site(run) as site:
        await site.async_create_member()
        for number in range(6):
            site.add_whole_model(number, tokens_per_s=300.0)
        await site.async_wait_endpoints(6)
        long = [
            asyncio.create_task(site.async_chat(1 + n % 4, f"{LONG_PROMPT} {n}")) for n in range(12)
        ]
        await asyncio.sleep(0.5)
        stop = pb.PlannedStop(stop_id="stop-1", target="failure_domain", target_id="domain-1")
        header = pb.ChangeHeader(change_id=new_change_id(), expected_revision=0)
        with site.operators() as client:
            request = pb.StopChange(header=header, stop=stop)
            reply = await site.async_call_operator(client, "OrderStop", request)
            run.expect(not isinstance(reply, CommandError), f"the stop was refused: {reply!r}")
            await asyncio.sleep(DRAIN_PROPAGATION_S)
            stopped = [f"whole-{number}" for number in range(6) if number % 3 == 1]
            before = [site.count_starts(name) for name in stopped]
            done = asyncio.Event()
            load = [asyncio.create_task(_async_send_requests(site, n, done)) for n in range(4)]
            answers = await asyncio.gather(*long)
            for number, answer in enumerate(answers):
                expected = expected_text(f"user: {LONG_PROMPT} {number}")
                run.expect(
                    chat_text(answer) == expected,
                    f"request interrupted: status {answer.status}, result code {answer.code}",
                )
            await _async_wait_safe(site, client)
            done.set()
            await asyncio.gather(*load)
        run.expect(
            [site.count_starts(name) for name in stopped] == before, "stopped endpoint got new work"
        )


async def _async_wait_safe(site: Site, client) -> None:  # type: ignore[no-untyped-def]
    """Wait until the planned stop has the state safe."""
    for _ in range(200):
        request = pb.GetRequest(kind=pb.ENTITY_KIND_STOP, id="stop-1")
        reply = await site.async_call_operator(client, "Get", request)
        if not isinstance(reply, CommandError) and reply.entity.stop.state == "safe":
            return
        await asyncio.sleep(0.1)
    site.run.violations.append("the planned stop did not become safe within 20 s")


PROOFS = (
    Proof(
        "stage-death",
        "each layer runs once per token although a stage is killed",
        async_stage_death,
    ),
    Proof("leaving", "a leaving endpoint gets no new work after 3 s", async_leaving),
    Proof("crashing", "one request crashes at most two endpoints", async_crashing),
    Proof("planned-stop", "a planned stop interrupts no running request", async_planned_stop),
)
