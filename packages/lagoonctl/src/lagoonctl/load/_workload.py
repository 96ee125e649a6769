"""Generates the requests of a load plan."""

from __future__ import annotations

import random

from lagoonctl.load.models import LoadPlan, MemberLoad, PlannedRequest

_VOCABULARY = (
    *("canvas", "seam", "thread", "patch", "pole", "market", "name", "vowel", "stress", "sound"),
    *("river", "shelter", "storm", "needle", "wax", "coast", "sierra", "ridge", "cloth", "dye"),
)


def generate_requests(plan: LoadPlan) -> list[PlannedRequest]:
    """Generate all requests of a plan in chronological order, determined by its seed."""
    requests: list[PlannedRequest] = []
    for position, member in enumerate(plan.members):
        generator = random.Random(f"{plan.seed}/{position}/{member.member_id}")
        requests.extend(_generate_member_requests(plan, member, generator))
    requests.sort(key=lambda request: request.at_s)
    return requests


def _generate_member_requests(
    plan: LoadPlan, member: MemberLoad, generator: random.Random
) -> list[PlannedRequest]:
    """Generate one member's Poisson arrivals by thinning to its rate at each time."""
    requests: list[PlannedRequest] = []
    factor = member.surge.factor if member.surge is not None else 1.0
    max_rate_per_s = member.rate_per_s * max(1.0, factor)
    if max_rate_per_s <= 0.0:
        return requests
    at_s = generator.expovariate(max_rate_per_s)
    while at_s < plan.duration_s:
        if generator.random() * max_rate_per_s < _rate_at(member, at_s):
            requests.append(_generate_request(plan, member, at_s, generator))
        at_s += generator.expovariate(max_rate_per_s)
    return requests


def _rate_at(member: MemberLoad, at_s: float) -> float:
    """Return a member's rate at a given time, in requests per second."""
    surge = member.surge
    if surge is not None and surge.start_s <= at_s < surge.end_s:
        return member.rate_per_s * surge.factor
    return member.rate_per_s


def _generate_request(
    plan: LoadPlan, member: MemberLoad, at_s: float, generator: random.Random
) -> PlannedRequest:
    """Generate one request."""
    long = generator.random() < plan.long_share
    max_tokens = plan.long_tokens if long else plan.short_tokens
    words = generator.choices(_VOCABULARY, k=plan.prompt_words)
    suffix = plan.prompt_suffix.replace("{max_tokens}", str(max_tokens))
    return PlannedRequest(
        at_s=at_s,
        member=member,
        target=generator.choice(plan.targets),
        prompt=" ".join(words) + suffix,
        max_tokens=max_tokens,
        long=long,
    )
