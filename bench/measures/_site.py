"""Deployment for the benchmarks: hosts, endpoints and members."""

from __future__ import annotations

import asyncio
import hashlib
import shutil
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from bench.measures.const import (
    ENDPOINT_COUNT,
    FIRST_TOKEN_S,
    JITTER,
    LARGE_MEMBER_SHARE,
    LARGE_MEMBERS,
    LAYERS,
    MEMBER_COUNT,
    MODEL,
    PIPELINE_STAGES,
    SHORT_TOKENS,
    SLOTS,
    SPEEDS_TOKENS_PER_S,
    UNCAPPED_CONCURRENCY,
)
from lagoonctl.client import OperatorClient, new_change_id
from lagoonctl.load import LoadPlan, MemberLoad, RequestResult, Target
from lagoonwing_core.ids import MemberId
from lagoonwing_core.result_codes import Outcome
from lagoonwing_fakes.deployment import (
    CALLER_PORT,
    Deployment,
    DeploymentPlan,
    HostPolicies,
    host_address,
)
from lagoonwing_fakes.deployment.const import OPERATOR_KEY
from lagoonwing_fakes.models import FakeKind, FakeSettings
from lagoonwing_fakes.tokens import expected_text
from lagoonwing_rpc import operator_pb2 as pb

PRODUCT = HostPolicies()
BASELINE = HostPolicies("none", "first_come", "round_robin")

OPERATOR_TIMEOUT_S = 20.0

_DOMAINS = ("domain-a", "domain-b", "domain-c")


@dataclass(frozen=True, slots=True)
class SitePlan:
    """Deployment parameters of a benchmark.

    Attributes:
        staged: Whether endpoints hold layer ranges instead of whole models.
    """

    policies: HostPolicies
    seed: int
    network: str
    staged: bool = False
    entries: int = 4
    endpoints: int = ENDPOINT_COUNT


@dataclass(slots=True)
class Site:
    """A running deployment.

    Attributes:
        bound_tokens_per_s: Upper bound of the throughput of all endpoints.
    """

    plan: SitePlan
    deployment: Deployment
    bound_tokens_per_s: float

    def targets(self) -> tuple[Target, ...]:
        """Return the caller address of each entry host."""
        numbers = range(1, self.plan.entries + 1)
        return tuple(
            Target(host_address(self.deployment.plan, number), CALLER_PORT) for number in numbers
        )

    def members(self, share_of_bound: float, tokens_per_request: float) -> list[MemberLoad]:
        """Return member loads that sum up to a share of the bound; some members are large."""
        total = self.bound_tokens_per_s * share_of_bound / tokens_per_request
        weights = [
            LARGE_MEMBER_SHARE if number < LARGE_MEMBERS else 1.0 for number in range(MEMBER_COUNT)
        ]
        return [
            MemberLoad(member_id(number), member_key(number), total * weight / sum(weights))
            for number, weight in enumerate(weights)
        ]

    def load(self, members: list[MemberLoad], duration_s: float, long_share: float) -> LoadPlan:
        """Return a load plan for this deployment."""
        return LoadPlan(
            targets=self.targets(),
            members=tuple(members),
            model=MODEL,
            duration_s=duration_s,
            timeout_s=60.0,
            long_share=long_share,
            short_tokens=SHORT_TOKENS,
            long_tokens=SHORT_TOKENS * 20,
            prompt_suffix=" [tokens={max_tokens}]",
            seed=self.plan.seed,
        )

    async def async_restore(self) -> None:
        """Restart stopped processes and wait until all endpoints are known again."""
        self.deployment.restart_exited()
        await self.deployment.async_wait_ready()
        await _async_wait_serving(self)


def member_id(number: int) -> MemberId:
    """Return the id of a member, numbered from 0."""
    return MemberId(f"member-{number}")


def member_key(number: int) -> str:
    """Return the bearer key of a member, numbered from 0."""
    return f"member-{number}-key"


def wrong_answers(results: list[RequestResult]) -> int:
    """Return the number of complete answers that do not match their prompt."""
    wrong = 0
    for result in results:
        if result.outcome is not Outcome.DONE or result.broken:
            continue
        prompt = f"user: {result.planned.prompt}"
        wrong += result.text != expected_text(prompt, result.planned.max_tokens)
    return wrong


@asynccontextmanager
async def async_site(plan: SitePlan) -> AsyncIterator[Site]:
    """Run a deployment, ready to serve, for the duration of the context."""
    folder = Path(tempfile.mkdtemp(prefix="lagoonwing-bench-"))
    deployment = Deployment(
        DeploymentPlan(folder, plan.network, entries=plan.entries, policies=plan.policies)
    )
    try:
        deployment.start_hosts()
        await deployment.async_wait_ready()
        await asyncio.to_thread(_create_members, deployment)
        bound = _start_endpoints(deployment, plan)
        site = Site(plan, deployment, bound)
        await _async_wait_serving(site)
        yield site
    finally:
        deployment.close()
        shutil.rmtree(folder, ignore_errors=True)


def _create_members(deployment: Deployment) -> None:
    """Create the members, with agreement weights proportional to their load."""
    with OperatorClient(
        deployment.operator_addresses(), OPERATOR_KEY, OPERATOR_TIMEOUT_S
    ) as client:
        for number in range(MEMBER_COUNT):
            member = pb.Member(
                member_id=member_id(number),
                name=member_id(number),
                key_hashes=[hashlib.sha256(member_key(number).encode()).hexdigest()],
            )
            client.call("CreateMember", pb.MemberChange(header=_header(), member=member))
            agreement = pb.Agreement(
                agreement_id=f"agreement-{number}",
                member_id=member_id(number),
                weight=LARGE_MEMBER_SHARE if number < LARGE_MEMBERS else 1.0,
                max_concurrency=UNCAPPED_CONCURRENCY,
            )
            client.call(
                "CreateAgreement",
                pb.AgreementChange(header=_header(), agreement=agreement),
            )


def _header() -> pb.ChangeHeader:
    """Return the header of a change that creates an entity."""
    return pb.ChangeHeader(change_id=new_change_id(), expected_revision=0)


def _start_endpoints(deployment: Deployment, plan: SitePlan) -> float:
    """Start the endpoints.

    Returns:
        Upper bound of their total tokens per second.
    """
    bound = 0.0
    for number in range(plan.endpoints):
        speed = SPEEDS_TOKENS_PER_S[number % len(SPEEDS_TOKENS_PER_S)]
        if plan.staged:
            group = number // len(SPEEDS_TOKENS_PER_S)
            speed = SPEEDS_TOKENS_PER_S[(number + group) % len(SPEEDS_TOKENS_PER_S)]
        deployment.start_endpoint(_endpoint(number, speed, plan))
        bound += 0.0 if plan.staged else speed
    return _staged_bound(plan) if plan.staged else bound


def _staged_bound(plan: SitePlan) -> float:
    """Return the total rate of the slowest pipeline stage."""
    rate_by_stage = dict.fromkeys(range(PIPELINE_STAGES), 0.0)
    for number in range(plan.endpoints):
        group = number // len(SPEEDS_TOKENS_PER_S)
        speed = SPEEDS_TOKENS_PER_S[(number + group) % len(SPEEDS_TOKENS_PER_S)]
        rate_by_stage[number % PIPELINE_STAGES] += speed
    return min(rate_by_stage.values())


def _endpoint(number: int, speed: float, plan: SitePlan) -> FakeSettings:
    """Return the settings of one simulated endpoint."""
    stage = number % PIPELINE_STAGES
    width = LAYERS // PIPELINE_STAGES
    return FakeSettings(
        kind=FakeKind.STAGE if plan.staged else FakeKind.WHOLE_MODEL,
        endpoint_id=f"endpoint-{number}",
        failure_domain=_DOMAINS[(number // PIPELINE_STAGES) % len(_DOMAINS)],
        accelerator=f"speed-{speed:.0f}",
        model=MODEL,
        first=stage * width if plan.staged else 0,
        end=(stage + 1) * width if plan.staged else 0,
        layer_count=LAYERS if plan.staged else 0,
        slots=SLOTS,
        tokens_per_s=speed,
        first_token_s=FIRST_TOKEN_S,
        jitter=JITTER,
        exports_kv=True,
        honours_priority=True,
        max_queue=4 * SLOTS,
        seed=plan.seed * 1000 + number,
        log_tokens=plan.staged,
    )


async def _async_wait_serving(site: Site) -> None:
    """Wait until every entry host knows every endpoint."""
    deployment = site.deployment

    def known_everywhere() -> bool:
        status = deployment.endpoint_counts()
        return all(count >= site.plan.endpoints for count in status)

    await deployment.async_wait(known_everywhere, "all endpoints at all entry hosts")
