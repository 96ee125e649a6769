"""Runs a load plan open-loop: requests start on schedule, regardless of earlier ones."""

from __future__ import annotations

import asyncio

from tornado.simple_httpclient import SimpleAsyncHTTPClient

from lagoonctl.load._client import async_send
from lagoonctl.load._workload import generate_requests
from lagoonctl.load.const import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    MAX_OPEN_REQUESTS,
    TIMELINE_STEP_S,
)
from lagoonctl.load.models import LoadPlan, LoadReport, MemberReport, RequestResult


async def async_run_load(plan: LoadPlan) -> LoadReport:
    """Send all requests of a plan and wait for their responses.

    Args:
        plan: Load to send.

    Returns:
        The report, including the result of each request.
    """
    client = SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_OPEN_REQUESTS,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_BODY_BYTES,
    )
    loop = asyncio.get_running_loop()
    run_start = loop.time()
    tasks: list[asyncio.Task[RequestResult]] = []
    for planned in generate_requests(plan):
        delay_s = run_start + planned.at_s - loop.time()
        if delay_s > 0.0:
            await asyncio.sleep(delay_s)
        tasks.append(loop.create_task(async_send(client, plan, planned, run_start)))
    results = await asyncio.gather(*tasks)
    client.close()
    return _make_report(plan, list(results), loop.time() - run_start)


def _make_report(plan: LoadPlan, results: list[RequestResult], elapsed_s: float) -> LoadReport:
    """Aggregate the results of a run."""
    report = LoadReport(plan, elapsed_s=elapsed_s, results=results)
    for member in plan.members:
        report.report_by_member[member.member_id] = MemberReport()
    for result in results:
        report.report_by_member[result.planned.member.member_id].add(result)
        for token_time in result.token_times_s:
            step = int(token_time / TIMELINE_STEP_S)
            report.tokens_by_step[step] = report.tokens_by_step.get(step, 0) + 1
    return report
