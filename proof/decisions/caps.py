"""A member's cap is global over all entry hosts, also during pauses and leader changes."""

from __future__ import annotations

import asyncio
import time

from lagoonwing_core.result_codes import ResultCode
from proof.report import Proof, Run
from proof.site import Site, async_site

CAP = 8
SURGE_REQUESTS = 160
SURGE_S = 8.0


async def async_cap_in_surge(run: Run) -> None:
    """Overload all entry hosts while the leader is killed; concurrency must not exceed the cap."""
    async with async_site(run) as site:
        await site.async_create_member(max_concurrency=CAP)
        for number in range(4):
            site.add_whole_model(number, tokens_per_s=160.0)
        await site.async_wait_endpoints(4)
        stop = asyncio.Event()
        load = [asyncio.create_task(_async_send_load(site, n, stop)) for n in range(SURGE_REQUESTS)]
        await asyncio.sleep(SURGE_S / 4)
        leader = await site.async_leader()
        site.deployment.kill(f"control-{leader}")
        await asyncio.sleep(SURGE_S / 4)
        site.deployment.restart_exited()
        victim = 1 + run.seed % 4
        site.deployment.suspend(f"entry-{victim}")
        await asyncio.sleep(SURGE_S / 4)
        site.deployment.resume(f"entry-{victim}")
        await asyncio.sleep(SURGE_S / 4)
        stop.set()
        outcomes = await asyncio.gather(*load)
        highest = _peak_concurrency(site)
        run.expect(highest <= CAP, f"{highest} concurrent requests, the cap is {CAP}")
        run.expect(sum(outcomes) > 0, "no request was served")
        run.figures["highest"] = str(highest)
        run.figures["done"] = str(sum(outcomes))


async def _async_send_load(site: Site, worker: int, stop: asyncio.Event) -> int:
    """Send requests in a loop until stopped; return the number of successes."""
    done = 0
    number = 0
    while not stop.is_set():
        answer = await site.async_chat(1 + worker % 4, f"surge {worker} {number} [tokens=16]")
        number += 1
        done += answer.outcome == "done"
        if answer.outcome != "done":
            await asyncio.sleep(0.2)
    return done


def _peak_concurrency(site: Site) -> int:
    """Return the highest concurrency, from the times in the endpoints' logs."""
    steps: list[tuple[float, int]] = []
    for line in site.deployment.all_execution_log_entries():
        if line["event"] == "start":
            steps.append((line["at"], 1))
        elif line["event"] in ("end", "cancelled"):
            steps.append((line["at"], -1))
    running = 0
    highest = 0
    # Sorting puts an end (-1) before a start (1) at the same time.
    for _, step in sorted(steps):
        running += step
        highest = max(highest, running)
    return highest


async def async_retired(run: Run) -> None:
    """A retired member is refused by every entry host within 4 s."""
    async with async_site(run) as site:
        await site.async_create_member(max_concurrency=CAP)
        site.add_whole_model(0)
        await site.async_wait_endpoints(1)
        done = site.deployment.run_lagoonctl("member", "retire", "member", check=False)
        run.expect(done.returncode == 0, f"retire: {done.stdout} {done.stderr}")
        retired = time.monotonic()
        for entry in range(1, 5):
            while True:
                answer = await site.async_chat(entry, f"late {entry}")
                if answer.outcome == "not_run":
                    break
                if time.monotonic() - retired > 4.0:
                    run.violations.append(f"entry {entry} still serves a retired member after 4 s")
                    break
            codes = (ResultCode.MEMBER_RETIRED.value, ResultCode.BAD_KEY.value)
            run.expect(answer.code in codes, f"entry {entry}: unexpected result code {answer.code}")
        run.figures["in_force_s"] = f"{time.monotonic() - retired:.2f}"


PROOFS = (
    Proof(
        "cap-surge",
        "a cap holds over all entry hosts during kills and pauses",
        async_cap_in_surge,
    ),
    Proof("retired", "a retired member is refused by every entry host within 4 s", async_retired),
)
