"""Draws the requests of a plan."""

from __future__ import annotations

import random

from lagoonctl.load.models import LoadPlan, MemberLoad, PlannedRequest

_VOCABULARY = (
    *("canvas", "seam", "thread", "patch", "pole", "market", "name", "vowel", "stress", "sound"),
    *("river", "shelter", "storm", "needle", "wax", "coast", "sierra", "ridge", "cloth", "dye"),
)


def draw_requests(plan: LoadPlan) -> list[PlannedRequest]:
    """Return every request of a plan in the order of time; the seed decides all of them."""
    requests: list[PlannedRequest] = []
    for position, member in enumerate(plan.members):
        generator = random.Random(f"{plan.seed}/{position}/{member.member_id}")
        requests.extend(_draw_member(plan, member, generator))
    requests.sort(key=lambda request: request.at_s)
    return requests


def _draw_member(
    plan: LoadPlan, member: MemberLoad, generator: random.Random
) -> list[PlannedRequest]:
    """Return the Poisson arrivals of one member, thinned to its rate at each time."""
    requests: list[PlannedRequest] = []
    factor = member.surge.factor if member.surge is not None else 1.0
    highest = member.rate_per_s * max(1.0, factor)
    if highest <= 0.0:
        return requests
    at_s = generator.expovariate(highest)
    while at_s < plan.duration_s:
        if generator.random() * highest < _rate_at(member, at_s):
            requests.append(_draw_request(plan, member, at_s, generator))
        at_s += generator.expovariate(highest)
    return requests


def _rate_at(member: MemberLoad, at_s: float) -> float:
    """Return a member's rate at one time, in requests a second."""
    surge = member.surge
    if surge is not None and surge.start_s <= at_s < surge.end_s:
        return member.rate_per_s * surge.factor
    return member.rate_per_s


def _draw_request(
    plan: LoadPlan, member: MemberLoad, at_s: float, generator: random.Random
) -> PlannedRequest:
    """Return one request."""
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
