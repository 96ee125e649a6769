"""At-most-once calls and correct answers while processes are killed and paused."""

from __future__ import annotations

import asyncio
import random

from lagoonwing_core.result_codes import ResultCode
from lagoonwing_fakes.models import Fault, FaultPlan
from lagoonwing_fakes.tokens import expected_text
from proof.report import Proof, Run
from proof.site import Answer, Site, async_site, chat_text

CALLS = 60
SERVICE_DELAY_S = 0.1
KILLS = 3
KILL_PAUSE_S = 0.8
FREEZE_S = 5.0
CHATS = 60


async def _async_setup_services(site: Site) -> None:
    """Create the member and three services with delayed answers."""
    await site.async_create_member()
    for number in range(3):
        site.add_service(number, FaultPlan(fault=Fault.LATE, delay_s=SERVICE_DELAY_S))
    await site.async_wait_endpoints(3)


async def _async_call_until_done(
    site: Site, key: str, generator: random.Random, answers: dict[str, list[Answer]]
) -> None:
    """Send one keyed call, resending it to random entry hosts until it is done."""
    for _ in range(4):
        await asyncio.sleep(generator.random() * KILL_PAUSE_S)
        entry = generator.randrange(1, site.deployment.plan.entries + 1)
        answer = await site.async_reserve(entry, key, f"name-{key}")
        answers[key].append(answer)
        if answer.outcome == "done":
            return


def _check_calls(run: Run, site: Site, answers: dict[str, list[Answer]]) -> None:
    """Compare the reported outcomes with the calls that ran."""
    effects = site.reservations()
    for key, reported in answers.items():
        ran = effects.get(key, 0)
        outcomes = [answer.outcome for answer in reported]
        run.expect(ran <= 1, f"{key} ran {ran} times: {outcomes}")
        run.expect("done" not in outcomes or ran == 1, f"{key} reported as done, ran {ran} times")
        bodies = {answer.body for answer in reported if answer.outcome == "done"}
        run.expect(len(bodies) <= 1, f"{key} got different answers")
        all_not_run = all(outcome == "not_run" for outcome in outcomes)
        run.expect(not (all_not_run and ran), f"{key} always reported as not_run, but ran")
    done = sum(
        any(answer.outcome == "done" for answer in reported) for reported in answers.values()
    )
    unknown = sum(reported[-1].outcome == "unknown" for reported in answers.values())
    run.figures["calls"] = str(len(answers))
    run.figures["done"] = str(done)
    run.figures["unknown"] = str(unknown)
    run.figures["effects"] = str(sum(effects.values()))


async def async_kill_entries(run: Run) -> None:
    """Kill entry hosts at random times while callers resend through other hosts."""
    async with async_site(run) as site:
        await _async_setup_services(site)
        answers = await _async_calls_during(site, _async_kill_some)
        _check_calls(run, site, answers)


async def async_freeze_entry(run: Run) -> None:
    """Pause an entry host that holds claims while callers resend, then resume it."""
    async with async_site(run) as site:
        await _async_setup_services(site)
        answers = await _async_calls_during(site, _async_freeze_one)
        await asyncio.sleep(1.0)
        _check_calls(run, site, answers)


async def async_kill_control(run: Run) -> None:
    """Kill the control leader while calls take claims."""

    async def async_fault(site: Site) -> None:
        leader = await site.async_leader()
        site.deployment.kill(f"control-{leader}")
        await asyncio.sleep(2.0)
        site.deployment.restart_exited()

    async with async_site(run) as site:
        await _async_setup_services(site)
        answers = await _async_calls_during(site, async_fault)
        _check_calls(run, site, answers)


async def _async_calls_during(site: Site, async_fault) -> dict[str, list[Answer]]:  # type: ignore[no-untyped-def]
    """Send keyed calls while a fault is injected."""
    generator = random.Random(site.run.seed)
    answers: dict[str, list[Answer]] = {f"key-{number}": [] for number in range(CALLS)}
    await asyncio.gather(
        async_fault(site),
        *(
            _async_call_until_done(site, key, random.Random(generator.random()), answers)
            for key in answers
        ),
    )
    return answers


async def _async_kill_some(site: Site) -> None:
    """Kill random entry hosts in sequence and restart each."""
    generator = random.Random(site.run.seed)
    for _ in range(KILLS):
        await asyncio.sleep(generator.random() * KILL_PAUSE_S)
        victim = generator.randrange(1, site.deployment.plan.entries + 1)
        site.deployment.kill(f"entry-{victim}")
        await asyncio.sleep(0.2)
        site.deployment.restart_exited()


async def _async_freeze_one(site: Site) -> None:
    """Pause one entry host for longer than any lease."""
    victim = 1 + site.run.seed % site.deployment.plan.entries
    await asyncio.sleep(KILL_PAUSE_S / 2)
    site.deployment.suspend(f"entry-{victim}")
    await asyncio.sleep(FREEZE_S)
    site.deployment.resume(f"entry-{victim}")


async def async_wrong_answers(run: Run) -> None:
    """Late, swapped, duplicated and truncated answers of endpoints reach no caller."""
    async with async_site(run) as site:
        await site.async_create_member()
        faults = (
            Fault.NONE,
            Fault.NONE,
            Fault.MISMATCHED_ID,
            Fault.DUPLICATED,
            Fault.TRUNCATED,
            Fault.LATE,
        )
        for number, fault in enumerate(faults):
            after = 0 if fault in (Fault.MISMATCHED_ID, Fault.LATE) else 3
            site.add_whole_model(number, FaultPlan(fault=fault, count=20, after_tokens=after))
        await site.async_wait_endpoints(len(faults))
        await asyncio.gather(*(_async_check_chat(site, number) for number in range(CHATS)))


async def _async_check_chat(site: Site, number: int) -> None:
    """Send one chat request and compare a complete answer with the one expected."""
    prompt = f"prompt {number} of seed {site.run.seed} [tokens=20]"
    answer = await site.async_chat(1 + number % 4, prompt, stream=number % 2 == 0)
    text = chat_text(answer)
    expected = expected_text(f"user: {prompt}")
    if not text:
        key = "not whole"
        site.run.figures[key] = str(int(site.run.figures.get(key, "0")) + 1)
        return
    site.run.expect(text == expected, f"chat {number}: got {text!r}, expected {expected!r}")
    site.run.figures["whole"] = str(int(site.run.figures.get("whole", "0")) + 1)


async def async_not_run(run: Run) -> None:
    """Refused calls are reported as not_run and have not run."""
    async with async_site(run, entries=2) as site:
        await site.async_create_member()
        for number in range(2):
            site.add_service(number, FaultPlan(fault=Fault.REFUSE))
        await site.async_wait_endpoints(2)
        for number in range(20):
            answer = await site.async_reserve(1 + number % 2, f"refused-{number}", "x")
            run.expect(answer.outcome == "not_run", f"refused call reported as {answer.outcome}")
            run.expect(answer.code != ResultCode.OK.value, "refused call has result code OK")
        run.expect(not site.reservations(), f"refused calls ran: {site.reservations()}")


PROOFS = (
    Proof(
        "kill-entries",
        "a keyed call runs at most once although entry hosts are killed",
        async_kill_entries,
    ),
    Proof("freeze-entry", "the same with an entry host paused past its leases", async_freeze_entry),
    Proof("kill-control", "the same while the control leader is killed", async_kill_control),
    Proof(
        "answers",
        "late, swapped, duplicated and truncated answers reach no caller",
        async_wrong_answers,
    ),
    Proof("not-run", "not_run is reported only if nothing ran", async_not_run),
)
