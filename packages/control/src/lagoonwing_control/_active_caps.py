"""Caps set by active agreements, by member and dimension."""

from __future__ import annotations

from lagoonwing_control._allotments import CapKey
from lagoonwing_control._state import State
from lagoonwing_control.models import EntityKind
from lagoonwing_core.models import Agreement, CapDimension, EntityState, Member


def active_caps(state: State) -> dict[CapKey, float]:
    """Return the caps of active agreements whose member is active."""
    cap_by_key: dict[CapKey, float] = {}
    for agreement in state.agreements():
        if agreement.state is EntityState.RETIRED or not _has_active_member(state, agreement):
            continue
        for dimension, cap in _caps_by_dimension(agreement).items():
            if cap is not None:
                cap_by_key[(agreement.member_id, dimension)] = float(cap)
    return cap_by_key


def _has_active_member(state: State, agreement: Agreement) -> bool:
    member = state.entity(EntityKind.MEMBER, agreement.member_id)
    return isinstance(member, Member) and member.state is EntityState.ACTIVE


def _caps_by_dimension(agreement: Agreement) -> dict[CapDimension, float | None]:
    """Return the caps of one agreement; `None` is unlimited."""
    return {
        CapDimension.CONCURRENCY: agreement.max_concurrency,
        CapDimension.REQUESTS_PER_S: agreement.max_requests_per_s,
        CapDimension.TOKENS_PER_S: agreement.max_tokens_per_s,
    }
